package scenario

import (
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// groupName is the name of a world's only database group.
const groupName = "ledger"

// zones are the availability zones of the standard world.
var zones = []string{"a", "b", "c"}

// defaultLag is the replication lag without faults.
const defaultLag = 2 * time.Millisecond

// Standard returns a settled world with a store, three servers s1 (primary), s2 and s3, and three
// VMs a, b and c; each availability zone has one server and one VM.
func Standard(seed uint64, guards guard.Set) *World {
	return standard(New(seed, guards))
}

func standard(w *World) *World {
	w.addStore()
	g := view.Group{Name: groupName, Term: 1, Primary: "s1", Reserved: 1, History: timeline.History{{Term: 1}}}
	for i, zone := range zones {
		id := target.ID([]string{"s1", "s2", "s3"}[i])
		s := w.addServer(id, zone)
		s.lag = defaultLag
		s.follows = "s1"
		g.Servers = append(g.Servers, view.Server{ID: id, Addr: string(id), Zone: zone})
	}
	w.server("s1").role = target.RolePrimary
	w.server("s1").follows = ""
	if _, err := w.store.put(groupKey(groupName), mustMarshal(g), 0); err != nil {
		panic(err) // an empty store accepts its first object
	}
	for _, zone := range zones {
		w.addVM(zone, zone, zones)
	}
	w.Advance(3 * time.Second)
	return w
}

// settleTime is longer than the expiry of a lease plus the longest backoff.
const settleTime = 15 * time.Second

// Settle ends all faults, restarts all killed nodes and gives the group time to recover. It reports
// whether the group has a primary that can commit.
func (w *World) Settle() bool { return w.settleFor(settleTime) }

func (w *World) settleFor(d time.Duration) bool {
	w.Heal()
	w.store.down, w.store.slow, w.store.loseAnswers = false, 0, 0
	for _, s := range w.servers {
		s.lag = defaultLag
		w.restart(s.node)
	}
	for _, v := range w.vms {
		if !v.up {
			v.boot()
		} else if v.paused {
			w.Resume(v.name)
		}
	}
	w.Advance(d)
	return w.primary() != nil
}

func (w *World) restart(n *node) {
	if n.paused {
		w.Resume(n.name)
	}
	n.up = true
}

// primary returns the primary that a majority allows to commit, or nil.
func (w *World) primary() *server {
	for _, s := range w.servers {
		if s.role == target.RolePrimary && s.promised == s.term && w.followers(s)*2 >= len(w.servers)-1 {
			return s
		}
	}
	return nil
}

// followers counts the replicas that follow p in p's term.
func (w *World) followers(p *server) int {
	n := 0
	for _, s := range w.servers {
		if s.follows == p.id && s.term == p.term && s.promised == p.term {
			n++
		}
	}
	return n
}

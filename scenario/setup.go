package scenario

import (
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// groupName is the one database group of a world.
const groupName = "ledger"

// zones of the standard world.
var zones = []string{"a", "b", "c"}

// defaultLag is how far a replica is behind when nothing is wrong.
const defaultLag = 2 * time.Millisecond

// Standard returns a world of three servers s1 (primary), s2 and s3, three VMs
// a, b and c, one of each in each availability zone, and a store, after it has
// settled.
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
		panic(err) // an empty store takes its first object
	}
	for _, zone := range zones {
		w.addVM(zone, zone, zones)
	}
	w.Advance(3 * time.Second)
	return w
}

// settleTime is enough for a lease to lapse and for the longest backoff.
const settleTime = 15 * time.Second

// Settle ends all faults, restarts what was killed, and lets the group recover.
// It reports whether the group has a primary that commits.
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

// primary returns the server that a majority lets commit, or nil.
func (w *World) primary() *server {
	for _, s := range w.servers {
		if s.role == target.RolePrimary && s.promised == s.term && w.followers(s)*2 >= len(w.servers)-1 {
			return s
		}
	}
	return nil
}

// followers counts the replicas of a primary's term.
func (w *World) followers(p *server) int {
	n := 0
	for _, s := range w.servers {
		if s.follows == p.id && s.term == p.term && s.promised == p.term {
			n++
		}
	}
	return n
}

package groups

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// replica is a target as it is, whatever the store says of it.
type replica struct {
	run    int64
	paused bool
	// follows is set while it follows the old primary's term, as it does after a restart without
	// the store, or after it joined.
	follows bool
}

// moment is what the store held at a time.
type moment struct {
	at       clock.Time
	revision catalog.Revision
	targets  map[target.ID]*catalog.Target
	listed   catalog.Revision // of the last change of the targets
	record   catalog.LeadershipRecord
}

// ordersWorld is a service whose primary "p" is replaced, and a VM that hears of everything late.
type ordersWorld struct {
	t        *rapid.T
	now      clock.Time
	replicas map[target.ID]*replica
	store    moment
	past     []moment
	unlisted []target.ID // targets whose new entry has not reached the store
	paused   map[target.ID]int64
	promoted bool

	registry  *Registry
	holder    *catalog.Holder
	broken    map[target.ID]clock.Time
	records   moment // as of which the VM knows the records
	targetsAt clock.Time
}

// change makes a change in the store.
func (w *ordersWorld) change(do func(s *moment)) {
	w.store.revision++
	w.store.at = w.now
	do(&w.store)
	w.past = append(w.past, w.store)
}

func (w *ordersWorld) list(id target.ID) {
	w.change(func(s *moment) {
		s.targets = maps.Clone(s.targets)
		s.targets[id] = &catalog.Target{ID: id, Service: "s", Role: target.RoleReplica, Incarnation: w.replicas[id].run}
		s.listed = s.revision
	})
}

func (w *ordersWorld) record(r catalog.LeadershipRecord) {
	w.change(func(s *moment) {
		r.Service, r.Revision = "s", s.revision
		s.record = r
	})
}

// momentSince draws what the store held at some time since.
func (w *ordersWorld) momentSince(since clock.Time) moment {
	known := 0
	for i, m := range w.past {
		if m.at <= since {
			known = i
		}
	}
	k := rapid.IntRange(known, len(w.past)-1).Draw(w.t, "moment")
	m := w.past[k]
	m.at = max(m.at, since)
	if k == len(w.past)-1 {
		m.at = w.now
	}
	return m
}

func (w *ordersWorld) hearRecords() {
	w.records = w.momentSince(w.records.at)
	r := w.records.record
	w.holder.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": &r}, r.Revision)
	w.registry.Update(w.holder.Load())
}

func (w *ordersWorld) hearTargets() {
	m := w.momentSince(w.targetsAt)
	w.targetsAt = m.at
	w.holder.SetTargets(m.targets, m.listed)
	// The list may be confirmed before the groups have taken it.
	w.registry.Group("s").ConfirmTargets()
	w.registry.Update(w.holder.Load())
}

// boot starts a process of the VM, whose first lists are of any two moments since another's.
func (w *ordersWorld) boot(since clock.Time) {
	w.holder = catalog.NewHolder()
	w.holder.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}})
	w.broken = make(map[target.ID]clock.Time)
	w.registry = NewRegistry(Config{
		Catalog: w.holder, Clock: w, Log: zap.NewNop(),
		RecordsRevision:    func() catalog.Revision { return w.records.revision },
		RecordsConfirmedAt: func() clock.Time { return w.records.at },
		BrokenAt:           func(id target.ID) clock.Time { return w.broken[id] },
		TargetsConfirmedAt: func() clock.Time { return w.targetsAt },
		DrainTimeout:       drainTimeout,
	})
	w.records, w.targetsAt = moment{at: since}, since
	w.hearRecords()
	w.hearTargets()
	// The primary's own status, which the VM queries.
	w.registry.Group("s").Leadership.RecordStatus("p", target.RolePrimary, 1)
}

func (w *ordersWorld) Now() clock.Time { return w.now }

// start starts a target without a pause, whose entry reaches the store now or later.
func (w *ordersWorld) start(id target.ID) {
	run := int64(1)
	if old := w.replicas[id]; old != nil {
		run = old.run + 1
		w.broken[id] = w.now
	}
	w.replicas[id] = &replica{run: run, follows: true}
	w.unlisted = append(w.unlisted, id)
	if rapid.Bool().Draw(w.t, "listed at once") {
		w.listOne()
	}
}

func (w *ordersWorld) listOne() {
	if len(w.unlisted) > 0 {
		w.list(w.unlisted[0])
		w.unlisted = w.unlisted[1:]
	}
}

// advanceAttempt makes the next step of a change of primary.
func (w *ordersWorld) advanceAttempt() {
	switch {
	case w.store.record.Attempt == nil && !w.promoted:
		w.paused = make(map[target.ID]int64)
		w.record(catalog.LeadershipRecord{Attempt: &catalog.Attempt{Deposed: "p"}})
	case w.promoted:
		for id, run := range w.paused {
			if r := w.replicas[id]; r.run == run {
				r.paused, r.follows = false, false
			}
		}
		if w.store.record.Attempt != nil {
			w.record(catalog.LeadershipRecord{Primary: "q"})
		}
	case w.pauseListed():
	case w.stillPaused():
		w.promoted = true
	default:
		for id := range w.paused {
			w.replicas[id].paused = false
		}
		w.record(catalog.LeadershipRecord{Primary: "p"})
	}
}

// pauseListed pauses the targets in the store's list that the attempt has not paused yet.
func (w *ordersWorld) pauseListed() (any bool) {
	for id := range w.store.targets {
		if _, done := w.paused[id]; id != "p" && !done {
			w.replicas[id].paused, any = true, true
			w.paused[id] = w.replicas[id].run
		}
	}
	return any
}

func (w *ordersWorld) stillPaused() bool {
	for id, run := range w.paused {
		if w.replicas[id].run != run {
			return false
		}
	}
	return true
}

// check requires that no replica proves the old primary once another target was promoted.
func (w *ordersWorld) check() {
	g := w.registry.Group("s")
	if b := g.Leadership.Current(); !w.promoted || b.Primary != "p" {
		return
	}
	for id := range w.holder.Load().Targets {
		if r := w.replicas[id]; r != nil && r.follows && !r.paused {
			require.False(w.t, g.CanWitness(id), "%s proves the old primary", id)
		}
	}
}

// playOrders draws orders of the events and checks each. It requires that some reach a promotion.
func playOrders(t *testing.T, events ...string) {
	t.Helper()
	promotions := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &ordersWorld{t: t, now: clock.Time(time.Second), replicas: map[target.ID]*replica{"q": {run: 1, follows: true}, "r": {run: 1, follows: true}}}
		w.store = moment{targets: map[target.ID]*catalog.Target{"p": {ID: "p", Service: "s", Role: target.RolePrimary, Incarnation: 1}}}
		w.list("q")
		w.list("r")
		w.boot(w.now)
		for range 30 {
			w.now += clock.Time(time.Second)
			w.act(rapid.SampledFrom(events).Draw(t, "event"))
			w.check()
		}
		if w.promoted {
			promotions++
		}
	})
	require.NotZero(t, promotions)
}

func (w *ordersWorld) act(event string) {
	switch event {
	case "attempt":
		w.advanceAttempt()
	case "restart":
		w.start(rapid.SampledFrom([]target.ID{"q", "r"}).Draw(w.t, "target"))
	case "join":
		w.start(target.ID(fmt.Sprint("j", len(w.replicas))))
	case "list":
		w.listOne()
	case "records":
		w.hearRecords()
	case "targets":
		w.hearTargets()
	case "restart VM":
		w.boot(min(w.records.at, w.targetsAt))
	}
}

// Failure guarded against: among joins, restarts under the same id, cuts and changes of primary
// there is an order in which a VM takes a replica for a witness of a primary that was replaced.
func TestNoOrderOfJoinsRestartsAndAttemptsProvesAReplacedPrimary(t *testing.T) {
	playOrders(t, "attempt", "attempt", "attempt", "restart", "join", "list", "records", "targets")
}

// Failure guarded against: the same for a VM whose process starts again behind a cut. It has neither
// the records nor a connection from before.
func TestNoOrderWithAVMThatStartsAgainProvesAReplacedPrimary(t *testing.T) {
	playOrders(t, "attempt", "attempt", "attempt", "restart", "join", "list", "records", "targets", "restart VM")
}

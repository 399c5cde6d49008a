package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// groupObject is a group's object in a store that compares counts only, as the platform's does.
type groupObject struct {
	group view.Group
	count int64
}

// restorableStore holds one object, and all states that it had.
type restorableStore struct {
	era    int64
	states []groupObject
}

func (s *restorableStore) current() groupObject { return s.states[len(s.states)-1] }

func (s *restorableStore) version() store.Version {
	return store.Version(catalog.RevisionOf(s.era, s.current().count))
}

// put makes a change if the object's count is that of the condition.
func (s *restorableStore) put(w write) bool {
	if catalog.CountOf(int64(w.expect)) != s.current().count {
		return false
	}
	s.states = append(s.states, groupObject{w.group, s.current().count + 1})
	return true
}

// write is a Reserve or Publish on its way to the store.
type write struct {
	by     *restoreProcess
	group  view.Group
	expect store.Version
	answer func(store.Version, error) Event
}

// restoreProcess is a Machine with the era that its client of the store knows.
type restoreProcess struct {
	*Machine
	era int64
}

// restoreWorld is some processes before a store that is restored at any moment.
type restoreWorld struct {
	t       *rapid.T
	now     clock.Time
	store   restorableStore
	guards  guard.Set
	procs   []*restoreProcess
	started int
	writes  []write // not yet at the store
	owners  map[timeline.Term]string
}

func (w *restoreWorld) boot() *restoreProcess {
	w.started++
	cfg := Default()
	cfg.VM = fmt.Sprint("vm", w.started)
	cfg.Zone, cfg.Incarnation, cfg.Guards = "a", cfg.VM+"#1", w.guards
	p := &restoreProcess{Machine: New(cfg, "ledger", rand.New(rand.NewPCG(1, uint64(w.started))))}
	return p
}

// step passes an event to a process, queues its writes, and records the terms that it owns.
func (w *restoreWorld) step(p *restoreProcess, ev Event) {
	for _, a := range p.Step(w.now, ev) {
		switch a := a.(type) {
		case Reserve:
			w.send(p, write{p, a.Group, a.ExpectVersion, func(v store.Version, err error) Event {
				return ReserveResult{Term: a.Group.Reserved, Version: v, Err: err}
			}})
		case Publish:
			w.send(p, write{p, a.Group, a.ExpectVersion, func(v store.Version, err error) Event {
				return PublishResult{Term: a.Group.Term, Version: v, Err: err}
			}})
		}
	}
	for t := p.terms.from; t != 0 && t <= p.terms.to; t++ {
		owner := w.owners[t]
		require.True(w.t, owner == "" || owner == p.cfg.Incarnation, "%s and %s own term %d", owner, p.cfg.Incarnation, t)
		w.owners[t] = p.cfg.Incarnation
	}
}

// send queues a write unless its condition is of an era that the process knows to be over.
func (w *restoreWorld) send(p *restoreProcess, wr write) {
	if catalog.EraOf(int64(wr.expect)) >= p.era {
		w.writes = append(w.writes, wr)
	}
}

// deliver lets a write reach the store. Its answer counts only if the era has not changed since the
// condition, and only if it arrives.
func (w *restoreWorld) deliver(wr write, answered bool) {
	done := w.store.put(wr)
	if !answered || !slices.Contains(w.procs, wr.by) {
		return
	}
	wr.by.era = w.store.era
	switch {
	case !done:
		w.step(wr.by, wr.answer(0, &store.ConflictError{}))
	case catalog.EraOf(int64(wr.expect)) == w.store.era:
		w.step(wr.by, wr.answer(w.store.version(), nil))
	default:
		w.step(wr.by, wr.answer(0, store.ErrNoAnswer))
	}
}

func (w *restoreWorld) read(p *restoreProcess) {
	p.era = w.store.era
	w.step(p, GroupLearned{Group: w.store.current().group, Version: w.store.version()})
}

// act draws one event of the world.
func (w *restoreWorld) act() {
	w.now += clock.Time(rapid.Int64Range(1, int64(time.Second)).Draw(w.t, "wait"))
	i := rapid.IntRange(0, len(w.procs)-1).Draw(w.t, "process")
	p := w.procs[i]
	switch rapid.SampledFrom([]string{"tick", "tick", "tick", "read", "deliver", "deliver", "lose", "restore", "use", "promise", "restart"}).Draw(w.t, "event") {
	case "tick":
		w.step(p, Tick{})
	case "read":
		w.read(p)
	case "deliver", "lose":
		if len(w.writes) == 0 {
			return
		}
		k := rapid.IntRange(0, len(w.writes)-1).Draw(w.t, "write")
		wr := w.writes[k]
		w.writes = slices.Delete(w.writes, k, k+1)
		w.deliver(wr, rapid.Bool().Draw(w.t, "answered"))
	case "restore":
		k := rapid.IntRange(1, len(w.store.states)).Draw(w.t, "copy")
		w.store.states = w.store.states[:k:k]
		w.store.era++
	case "use":
		p.terms.used = max(p.terms.used, p.terms.to)
	case "promise":
		promised := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(w.t, "promiser")].terms.from
		w.step(p, ProbeAnswered{Server: "s2", Asked: w.now - 1, Status: target.Status{Server: "s2", Promised: promised}})
	case "restart":
		w.procs[i] = w.boot()
		w.step(w.procs[i], LeaseResult{Holder: "another", Version: 1, Asked: w.now})
		w.read(w.procs[i])
	}
}

// Failure guarded against: the store comes back from an older copy at some step of a reservation,
// and a term belongs to two processes, each of which may promote a server in it.
func TestRestoredStoreReservesNoTermTwice(t *testing.T) {
	reserved := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &restoreWorld{t: t, now: clock.Time(time.Second), owners: make(map[timeline.Term]string)}
		w.store.states = []groupObject{{testGroup(), 1}}
		for range 3 {
			w.procs = append(w.procs, w.boot())
			w.read(w.procs[len(w.procs)-1])
		}
		for range 120 {
			w.act()
		}
		reserved += len(w.owners)
	})
	require.NotZero(t, reserved)
}

// Failure guarded against: a VM that cannot reserve above the terms that it knows never does again,
// because the object in the restored store does not change.
func TestReservationContinuesAfterARestore(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	m.terms.used = m.terms.to
	later := store.Version(catalog.RevisionOf(1, 1))
	m.Step(clock.Time(time.Second), GroupLearned{Group: testGroup(), Version: later})
	reserve, ok := find[Reserve](m.Step(clock.Time(2*time.Second), Tick{}))
	require.True(t, ok)
	require.Greater(t, reserve.Group.Reserved, m.terms.used)
	m.Step(clock.Time(2*time.Second), ReserveResult{Term: reserve.Group.Reserved, Version: later + 1})
	_, ok = m.usableTerm()
	require.True(t, ok)
}

// Failure guarded against: the copy from which the store comes back is older than the lease. VMs
// that knew the lease take each answer that there is none for an outdated one, nobody holds it, and
// no planned change of primary begins.
func TestLeaseThatTheStoreLostIsTakenAgain(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	now := clock.Time(10 * time.Second)
	_, ok := find[RenewLease](m.Step(now, Tick{}))
	require.True(t, ok)
	m.Step(now, LeaseResult{Asked: now, Err: &store.ConflictError{}})
	now += clock.Time(time.Second)
	read, ok := find[ReadLease](m.Step(now, Tick{}))
	require.True(t, ok)
	m.Step(now, LeaseResult{Asked: read.Asked})
	require.False(t, m.HoldsLease())
	now += clock.Time(3 * time.Second)
	renew, ok := find[RenewLease](m.Step(now, Tick{}))
	require.True(t, ok)
	require.Zero(t, renew.ExpectVersion, "the lease is created")
	m.Step(now, LeaseResult{Holder: renew.Holder, Version: store.Version(catalog.RevisionOf(1, 1)), Asked: renew.Asked})
	require.True(t, m.HoldsLease())
}

// A late answer from before the lease was created takes no lease from its holder.
func TestLateAnswerWithoutALeaseIsIgnored(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	m.Step(3*ms, LeaseResult{Asked: ms})
	require.True(t, m.HoldsLease())
}

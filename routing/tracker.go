package routing

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Tracker records the evidence on all servers that this proxy knows. It is safe for concurrent use.
// Readers take no lock; a mutex serializes the writers of the maps.
type Tracker struct {
	// Guards disables guards, in tests only. It must be set before the first use.
	Guards guard.Set

	mu      sync.Mutex
	servers atomic.Pointer[map[target.ID]*evidence]
	groups  atomic.Pointer[map[string]*groupSamples]
}

// groupSamples contains a group's samples; the list is replaced as a whole.
type groupSamples struct {
	list atomic.Pointer[samples]
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.servers.Store(&map[target.ID]*evidence{})
	t.groups.Store(&map[string]*groupSamples{})
	return t
}

func (t *Tracker) find(id target.ID) *evidence {
	return (*t.servers.Load())[id]
}

// ensure returns the server's evidence, adding the server if it is new.
func (t *Tracker) ensure(id target.ID) *evidence {
	if e := t.find(id); e != nil {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		return e
	}
	next := maps.Clone(*t.servers.Load())
	e := &evidence{}
	next[id] = e
	t.servers.Store(&next)
	return e
}

// Observe records a server's status report. asked is the time at which the status query was sent,
// and answered is the time at which the answer arrived. A report whose query was sent before that
// of the recorded report changes nothing.
func (t *Tracker) Observe(id target.ID, st target.Status, asked, answered clock.Time) {
	_ = answered // the evidence is as of asked
	t.ensure(id).observe(st, asked)
}

// ObservePrimary records that the group's primary had committed up to pos when it was queried at
// asked.
func (t *Tracker) ObservePrimary(group string, pos timeline.Position, asked clock.Time) {
	g := t.ensureGroup(group)
	for {
		old := g.list.Load()
		next := old.with(sample{asked: asked, pos: pos})
		if g.list.CompareAndSwap(old, &next) {
			return
		}
	}
}

func (t *Tracker) ensureGroup(name string) *groupSamples {
	if g := (*t.groups.Load())[name]; g != nil {
		return g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := (*t.groups.Load())[name]; g != nil {
		return g
	}
	next := maps.Clone(*t.groups.Load())
	g := &groupSamples{}
	g.list.Store(&samples{})
	next[name] = g
	t.groups.Store(&next)
	return g
}

// samplesOf returns the group's samples, which must not be modified.
func (t *Tracker) samplesOf(group string) samples {
	g := (*t.groups.Load())[group]
	if g == nil {
		return nil
	}
	return *g.list.Load()
}

// Begin records that a request was sent to the server.
func (t *Tracker) Begin(id target.ID, now clock.Time) {
	t.ensure(id).begin(now)
}

// End records the end of a request that Begin recorded. failed reports a failure of the server: a
// lost connection, a timeout or a refusal to serve, but not an error in the caller's statement.
func (t *Tracker) End(id target.ID, now clock.Time, latency time.Duration, failed bool) {
	t.ensure(id).end(now, latency, failed)
}

// Retain removes the servers and groups that are not in the view, so that the Tracker does not grow
// with every server that the fleet has ever had.
func (t *Tracker) Retain(v *view.View) {
	known := make(map[target.ID]bool)
	for _, g := range v.Groups {
		for i := range g.Servers {
			known[g.Servers[i].ID] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := maps.Clone(*t.servers.Load())
	maps.DeleteFunc(servers, func(id target.ID, _ *evidence) bool { return !known[id] })
	t.servers.Store(&servers)
	groups := maps.Clone(*t.groups.Load())
	maps.DeleteFunc(groups, func(name string, _ *groupSamples) bool { return v.Groups[name] == nil })
	t.groups.Store(&groups)
}

// currentAsOf returns the latest time as of which a server with the given report was current; see
// the package comment.
func (t *Tracker) currentAsOf(g *view.Group, rep *report) (clock.Time, bool) {
	return t.latestCovered(g, t.samplesOf(g.Name), rep.status.Position())
}

// latestCovered returns the time of the latest witnessed sample that the position have covers.
func (t *Tracker) latestCovered(g *view.Group, all samples, have timeline.Position) (clock.Time, bool) {
	var term timeline.Term
	var until clock.Time
	var proven bool
	for i := len(all) - 1; i >= 0; i-- {
		s := all[i]
		if s.pos.Term != term {
			term = s.pos.Term
			until, proven = t.provenUntil(g, term)
		}
		if !proven || s.asked > until {
			continue
		}
		if g.History.Covers(have, s.pos) {
			return s.asked, true
		}
	}
	return 0, false
}

// provenUntil returns the latest time at which enough replicas witnessed that they had promised no
// term later than the given one to form a majority together with the primary: one replica in a
// group of three.
func (t *Tracker) provenUntil(g *view.Group, term timeline.Term) (clock.Time, bool) {
	needed := len(g.Servers) / 2
	if needed == 0 || t.Guards.Disabled(GuardWitness) {
		return math.MaxInt64, true
	}
	var latest [MaxCandidates]clock.Time // in descending order
	n := 0
	for i := range g.Servers {
		id := g.Servers[i].ID
		if id == g.Primary && term == g.Term {
			continue
		}
		at, ok := t.witnessed(id, term)
		if !ok || n == MaxCandidates {
			continue
		}
		k := n
		for ; k > 0 && latest[k-1] < at; k-- {
			latest[k] = latest[k-1]
		}
		latest[k] = at
		n++
	}
	if n < needed {
		return 0, false
	}
	return latest[needed-1], true
}

// witnessed returns the latest time at which the server reported, as a replica, that it had
// promised no term above the given one.
func (t *Tracker) witnessed(id target.ID, term timeline.Term) (clock.Time, bool) {
	e := t.find(id)
	if e == nil {
		return 0, false
	}
	rep := e.report.Load()
	if rep == nil {
		return 0, false
	}
	return rep.witnessed(term)
}

// Age returns the maximum age of the server's data at now, and whether that age is known.
func (t *Tracker) Age(g *view.Group, id target.ID, now clock.Time) (time.Duration, bool) {
	e := t.find(id)
	if e == nil {
		return 0, false
	}
	rep := e.report.Load()
	if rep == nil {
		return 0, false
	}
	at, ok := t.currentAsOf(g, rep)
	return now.Sub(at), ok
}

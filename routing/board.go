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

// Board is the evidence on all servers that this proxy knows. It is safe for
// concurrent use. Readers take no lock; a lock orders the writers of the maps.
type Board struct {
	// Guards takes guards out, for tests only; it is set before the first use.
	Guards guard.Set

	mu      sync.Mutex
	servers atomic.Pointer[map[target.ID]*evidence]
	groups  atomic.Pointer[map[string]*groupSamples]
}

// groupSamples holds a group's samples; the list in it is replaced as a whole.
type groupSamples struct {
	list atomic.Pointer[samples]
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	b := &Board{}
	b.servers.Store(&map[target.ID]*evidence{})
	b.groups.Store(&map[string]*groupSamples{})
	return b
}

func (b *Board) find(id target.ID) *evidence {
	return (*b.servers.Load())[id]
}

// ensure returns the server's evidence, adding the server if it is new.
func (b *Board) ensure(id target.ID) *evidence {
	if e := b.find(id); e != nil {
		return e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.find(id); e != nil {
		return e
	}
	next := maps.Clone(*b.servers.Load())
	e := &evidence{}
	next[id] = e
	b.servers.Store(&next)
	return e
}

// Observe records a server's own status. asked is the instant at which the
// question was sent, answered the one at which the answer came. A status that
// was asked for earlier than the one already held changes nothing.
func (b *Board) Observe(id target.ID, st target.Status, asked, answered clock.Time) {
	_ = answered // the evidence is as of when it was asked
	b.ensure(id).observe(st, asked)
}

// ObservePrimary records that the group's primary, when it was asked at asked,
// had committed up to pos.
func (b *Board) ObservePrimary(group string, pos timeline.Position, asked clock.Time) {
	g := b.ensureGroup(group)
	for {
		old := g.list.Load()
		next := old.with(sample{asked: asked, pos: pos})
		if g.list.CompareAndSwap(old, &next) {
			return
		}
	}
}

func (b *Board) ensureGroup(name string) *groupSamples {
	if g := (*b.groups.Load())[name]; g != nil {
		return g
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := (*b.groups.Load())[name]; g != nil {
		return g
	}
	next := maps.Clone(*b.groups.Load())
	g := &groupSamples{}
	g.list.Store(&samples{})
	next[name] = g
	b.groups.Store(&next)
	return g
}

// samplesOf returns the group's samples, which must not be changed.
func (b *Board) samplesOf(group string) samples {
	g := (*b.groups.Load())[group]
	if g == nil {
		return nil
	}
	return *g.list.Load()
}

// Begin records that a request was sent to the server.
func (b *Board) Begin(id target.ID, now clock.Time) {
	b.ensure(id).begin(now)
}

// End records the end of a request that Begin announced. failed is for what
// the server is to blame for: a lost connection, a timeout, a refusal to
// serve; not for an error in the caller's statement.
func (b *Board) End(id target.ID, now clock.Time, latency time.Duration, failed bool) {
	b.ensure(id).end(now, latency, failed)
}

// Forget drops servers and groups that the view no longer has, so that the
// Board does not grow with the fleet's past.
func (b *Board) Forget(v *view.View) {
	known := make(map[target.ID]bool)
	for _, g := range v.Groups {
		for i := range g.Servers {
			known[g.Servers[i].ID] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := maps.Clone(*b.servers.Load())
	maps.DeleteFunc(servers, func(id target.ID, _ *evidence) bool { return !known[id] })
	b.servers.Store(&servers)
	groups := maps.Clone(*b.groups.Load())
	maps.DeleteFunc(groups, func(name string, _ *groupSamples) bool { return v.Groups[name] == nil })
	b.groups.Store(&groups)
}

// currentAsOf returns the latest instant as of which a server with that report
// was current: see the package comment.
func (b *Board) currentAsOf(g *view.Group, rep *report) (clock.Time, bool) {
	return b.latestCovered(g, b.samplesOf(g.Name), rep.status.Position())
}

// latestCovered returns the instant of the latest witnessed sample that have
// covers.
func (b *Board) latestCovered(g *view.Group, all samples, have timeline.Position) (clock.Time, bool) {
	var term timeline.Term
	var until clock.Time
	var proven bool
	for i := len(all) - 1; i >= 0; i-- {
		s := all[i]
		if s.pos.Term != term {
			term = s.pos.Term
			until, proven = b.provenUntil(g, term)
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

// provenUntil returns the latest instant at which a replica of the group
// witnessed that no later term than the given one had a majority.
func (b *Board) provenUntil(g *view.Group, term timeline.Term) (clock.Time, bool) {
	if b.Guards.Out(GuardWitness) {
		return math.MaxInt64, true
	}
	var latest clock.Time
	var ok bool
	for i := range g.Servers {
		id := g.Servers[i].ID
		e := b.find(id)
		if e == nil || (id == g.Primary && term == g.Term) {
			continue
		}
		rep := e.report.Load()
		if rep == nil {
			continue
		}
		if at, seen := rep.witnessed(term); seen && (!ok || at > latest) {
			latest, ok = at, true
		}
	}
	return latest, ok
}

// Age returns how old the server's data may be at now, and whether it is known.
func (b *Board) Age(g *view.Group, id target.ID, now clock.Time) (time.Duration, bool) {
	e := b.find(id)
	if e == nil {
		return 0, false
	}
	rep := e.report.Load()
	if rep == nil {
		return 0, false
	}
	at, ok := b.currentAsOf(g, rep)
	return now.Sub(at), ok
}

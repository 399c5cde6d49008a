package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// askAgain is the wait when nothing can be estimated.
	askAgain = 20 * time.Millisecond
	// catchUpUsual of the lag is taken as the time that a replica needs. When
	// it is over, the wait goes on in steps of askAgain up to catchUpSlow.
	catchUpUsual = 0.5
	catchUpSlow  = 0.95
)

// Request is what a decision depends on.
type Request struct {
	// Kind is the request's declared kind; nil is routed as a write.
	Kind *profile.Kind
	// Floor is the least position that the session must see.
	Floor timeline.Position
	// Zone is the proxy's availability zone.
	Zone string
	// Now is the instant of the decision.
	Now clock.Time
	// Since is the instant of the request's first decision; zero means Now.
	Since clock.Time
}

func (r Request) waited() time.Duration {
	if r.Since == 0 {
		return 0
	}
	return max(r.Now.Sub(r.Since), 0)
}

// Decision names the server, or how long to wait before asking again.
type Decision struct {
	// Server is nil if no server can take the request now.
	Server *view.Server
	// Wait is set if Server is nil. It is an estimate, not a promise: the
	// caller asks again after it, or gives up at the request's deadline.
	Wait   time.Duration
	Reason Reason
}

// Router chooses servers. It is safe for concurrent use and allocates nothing.
type Router struct {
	board  *Board
	policy Policy
	seed   uint64
	count  atomic.Uint64
}

// NewRouter returns a Router over the evidence in b. The same seed and the same
// order of calls give the same decisions.
func NewRouter(b *Board, policy Policy, seed uint64) *Router {
	return &Router{board: b, policy: policy, seed: seed}
}

// Route chooses the server for r in group g of view v.
func (r *Router) Route(v *view.View, g *view.Group, req Request) Decision {
	if req.Kind == nil || req.Kind.Access == profile.Write {
		return r.board.primaryOnly(v, g, req, ReasonWrite)
	}
	if req.Kind.MaxAge <= 0 {
		return r.board.primaryOnly(v, g, req, ReasonExact)
	}
	c := r.board.candidates(v, g, req)
	return r.policy.Choose(c, r.random())
}

// random returns the next number of a stream that needs no lock: a generator
// seeded by the router's seed and the call's number.
func (r *Router) random() uint64 {
	var source rand.PCG
	source.Seed(r.seed, r.count.Add(1))
	return source.Uint64()
}

// primaryOnly routes what only the primary may run. The floor still counts: a
// superseded primary of an old view cannot cover a session that has seen a
// later term, so such a session waits for the view to catch up.
func (b *Board) primaryOnly(v *view.View, g *view.Group, req Request, why Reason) Decision {
	s := g.Server(g.Primary)
	if s == nil || v.Draining[s.ID] || !b.primaryCovers(g, req.Floor) {
		return Decision{Wait: askAgain, Reason: ReasonNoPrimary}
	}
	return Decision{Server: s, Reason: why}
}

// primaryCovers reports whether the primary of the group's term holds floor:
// it holds all kept writes of its own term and of earlier ones.
func (b *Board) primaryCovers(g *view.Group, floor timeline.Position) bool {
	return floor.Term <= g.Term || b.Guards.Out(GuardFloor)
}

// candidates gathers the servers that may serve the read.
func (b *Board) candidates(v *view.View, g *view.Group, req Request) Candidates {
	c := Candidates{
		Now:      req.Now,
		Waited:   req.waited(),
		Deadline: req.Kind.Deadline,
	}
	all := b.samplesOf(g.Name)
	for i := range g.Servers {
		s := &g.Servers[i]
		if v.Draining[s.ID] {
			continue
		}
		if s.ID == g.Primary {
			if b.primaryFresh(g, req) {
				c.Primary = candidate(s, b.find(s.ID), req)
			}
			continue
		}
		e := b.find(s.ID)
		if e == nil || c.N == MaxCandidates {
			continue
		}
		b.weighReplica(&c, g, s, e, all, req)
	}
	return c
}

// weighReplica adds the replica if it qualifies; if it only lacks the floor, it
// notes when it is expected to reach it.
func (b *Board) weighReplica(c *Candidates, g *view.Group, s *view.Server, e *evidence, all samples, req Request) {
	rep := e.report.Load()
	if rep == nil || !b.replicaOfHistory(g, rep.status) {
		return
	}
	at, ok := b.latestCovered(g, all, rep.status.Position())
	if ok {
		e.countLag(rep, at)
	}
	if !b.Guards.Out(GuardAge) && (!ok || req.Now.Sub(at) > req.Kind.MaxAge) {
		return
	}
	if g.History.Covers(rep.status.Position(), req.Floor) || b.Guards.Out(GuardFloor) {
		c.Replicas[c.N] = candidate(s, e, req)
		c.N++
		return
	}
	if wait, known := catchUp(g, e, all, req); known && (!c.CatchUpKnown || wait < c.CatchUp) {
		c.CatchUp, c.CatchUpKnown = wait, true
	}
}

// replicaOfHistory reports whether the server follows the group's history.
//
// Failure guarded against: a superseded primary, or a replica that followed it,
// serves entries that a promotion discarded. It shows as a read of a write that
// later never happened. Such a server claims to lead without being the view's
// primary, or holds a position beyond the start of a later term.
func (b *Board) replicaOfHistory(g *view.Group, st target.Status) bool {
	if b.Guards.Out(GuardHistory) {
		return true
	}
	return st.Role == target.RoleReplica && !g.History.WasDiscarded(st.Position())
}

// primaryFresh reports whether the primary may serve a read of bounded age: it
// covers the floor, and a replica witnessed within MaxAge that no later term
// had a majority. Without the witness the primary may be cut off and its data
// older than it seems.
func (b *Board) primaryFresh(g *view.Group, req Request) bool {
	if !b.primaryCovers(g, req.Floor) {
		return false
	}
	until, ok := b.provenUntil(g, g.Term)
	return ok && req.Now.Sub(until) <= req.Kind.MaxAge
}

// catchUp estimates when a replica reaches the floor: the usual lag less the
// time since the primary passed the floor. It is not known once that time is
// longer than the replica's slow lags: it has fallen behind.
func catchUp(g *view.Group, e *evidence, all samples, req Request) (time.Duration, bool) {
	usual, ok := e.lag.quantile(catchUpUsual)
	if !ok {
		return 0, false
	}
	reached, known := all.reached(g.History, req.Floor)
	if !known {
		return usual, true
	}
	since := req.Now.Sub(reached)
	if since < usual {
		return usual - since, true
	}
	slow, _ := e.lag.quantile(catchUpSlow)
	return askAgain, since < slow
}

func candidate(s *view.Server, e *evidence, req Request) Candidate {
	c := Candidate{Server: s, Local: s.Zone == req.Zone, board: e}
	if e == nil {
		return c
	}
	c.Service = e.service(req.Now)
	c.Outstanding = int(max(e.outstanding.Load(), 0))
	c.Failing = e.failureShare()
	return c
}

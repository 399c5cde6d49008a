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
	// retryInterval is the wait when no estimate is available.
	retryInterval = 20 * time.Millisecond
	// catchUpTypical and catchUpSlow are quantiles of the lag. A replica is expected to catch up
	// within the first; after that the wait continues in steps of retryInterval up to the second.
	catchUpTypical = 0.5
	catchUpSlow    = 0.95
)

// Request is the input of a routing decision.
type Request struct {
	// Kind is the request's declared kind; nil is routed as a write.
	Kind *profile.Kind
	// Floor is the lowest position that the session must see.
	Floor timeline.Position
	// Zone is the proxy's availability zone.
	Zone string
	// Now is the time of the decision.
	Now clock.Time
	// Since is the time of the request's first decision; zero means Now.
	Since clock.Time
}

func (r Request) waited() time.Duration {
	if r.Since == 0 {
		return 0
	}
	return max(r.Now.Sub(r.Since), 0)
}

// Decision is the chosen server, or how long to wait before routing again.
type Decision struct {
	// Server is nil if no server can take the request now.
	Server *view.Server
	// Wait is set if Server is nil. It is an estimate without a guarantee: the caller routes again
	// after it, or fails the request at its deadline.
	Wait   time.Duration
	Reason Reason
}

// Router chooses servers. It is safe for concurrent use and allocates nothing.
type Router struct {
	tracker *Tracker
	policy  Policy
	seed    uint64
	count   atomic.Uint64
}

// NewRouter returns a Router that uses the evidence in t. The same seed and the same sequence of
// calls give the same decisions.
func NewRouter(t *Tracker, policy Policy, seed uint64) *Router {
	return &Router{tracker: t, policy: policy, seed: seed}
}

// Route chooses the server for req in group g of view v.
func (r *Router) Route(v *view.View, g *view.Group, req Request) Decision {
	if req.Kind == nil || req.Kind.Access == profile.Write {
		return r.tracker.primaryOnly(v, g, req, ReasonWrite)
	}
	if req.Kind.MaxAge <= 0 {
		return r.tracker.primaryOnly(v, g, req, ReasonExact)
	}
	c := r.tracker.candidates(v, g, req)
	return r.policy.Choose(c, r.random())
}

// random returns the next random number without a lock: each call seeds a generator with the
// router's seed and the number of the call.
func (r *Router) random() uint64 {
	var source rand.PCG
	source.Seed(r.seed, r.count.Add(1))
	return source.Uint64()
}

// primaryOnly routes a request that only the primary may run. The floor still applies: in an
// outdated view the primary may be superseded and cannot cover a session that has seen a later
// term, so such a session waits until the view is updated.
func (t *Tracker) primaryOnly(v *view.View, g *view.Group, req Request, why Reason) Decision {
	s := g.Server(g.Primary)
	if s == nil || v.Draining[s.ID] || !t.primaryCovers(g, req.Floor) {
		return Decision{Wait: retryInterval, Reason: ReasonNoPrimary}
	}
	return Decision{Server: s, Reason: why}
}

// primaryCovers reports whether the primary of the group's term covers floor. The primary has all
// retained writes of its own term and of earlier ones.
func (t *Tracker) primaryCovers(g *view.Group, floor timeline.Position) bool {
	return floor.Term <= g.Term || t.Guards.Disabled(GuardFloor)
}

// candidates collects the servers that may serve the read.
func (t *Tracker) candidates(v *view.View, g *view.Group, req Request) Candidates {
	c := Candidates{
		Now:      req.Now,
		Waited:   req.waited(),
		Deadline: req.Kind.Deadline,
	}
	all := t.samplesOf(g.Name)
	for i := range g.Servers {
		s := &g.Servers[i]
		if v.Draining[s.ID] {
			continue
		}
		if s.ID == g.Primary {
			if t.primaryFresh(g, req) {
				c.Primary = candidate(s, t.find(s.ID), req)
			}
			continue
		}
		e := t.find(s.ID)
		if e == nil || c.N == MaxCandidates {
			continue
		}
		t.addReplica(&c, g, s, e, all, req)
	}
	return c
}

// addReplica adds the replica to c if it qualifies. If it lacks only the floor, addReplica records
// when the replica is expected to reach it.
func (t *Tracker) addReplica(c *Candidates, g *view.Group, s *view.Server, e *evidence, all samples, req Request) {
	rep := e.report.Load()
	if rep == nil || !t.replicaOfHistory(g, rep.status) {
		return
	}
	at, ok := t.latestCovered(g, all, rep.status.Position())
	if ok {
		e.recordLag(rep, at)
	}
	if !t.Guards.Disabled(GuardAge) && (!ok || req.Now.Sub(at) > req.Kind.MaxAge) {
		return
	}
	if g.History.Covers(rep.status.Position(), req.Floor) || t.Guards.Disabled(GuardFloor) {
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
// Failure guarded against: a superseded primary, or a replica that followed it, serves entries that
// a promotion has discarded, and a read returns a write that is later missing. Such a server claims
// to lead without being the view's primary, or its position is beyond the start of a later term.
func (t *Tracker) replicaOfHistory(g *view.Group, st target.Status) bool {
	if t.Guards.Disabled(GuardHistory) {
		return true
	}
	return st.Role == target.RoleReplica && !g.History.WasDiscarded(st.Position())
}

// primaryFresh reports whether the primary may serve a bounded-staleness read: it covers the floor,
// and a replica witnessed within MaxAge that no later term had a majority. Without a witness, the
// primary may be partitioned and its data older than it appears.
func (t *Tracker) primaryFresh(g *view.Group, req Request) bool {
	if !t.primaryCovers(g, req.Floor) {
		return false
	}
	until, ok := t.provenUntil(g, g.Term)
	return ok && req.Now.Sub(until) <= req.Kind.MaxAge
}

// catchUp estimates the time until a replica reaches the floor: the typical lag minus the time
// since the primary reached the floor. The estimate is unknown once that time exceeds the
// catchUpSlow quantile of the replica's lag, because the replica has fallen behind.
func catchUp(g *view.Group, e *evidence, all samples, req Request) (time.Duration, bool) {
	typical, ok := e.lag.quantile(catchUpTypical)
	if !ok {
		return 0, false
	}
	reached, known := all.reachedAt(g.History, req.Floor)
	if !known {
		return typical, true
	}
	since := req.Now.Sub(reached)
	if since < typical {
		return typical - since, true
	}
	slow, _ := e.lag.quantile(catchUpSlow)
	return retryInterval, since < slow
}

func candidate(s *view.Server, e *evidence, req Request) Candidate {
	c := Candidate{Server: s, Local: s.Zone == req.Zone, evidence: e}
	if e == nil {
		return c
	}
	c.ServiceTime = e.service(req.Now)
	c.Outstanding = int(max(e.outstanding.Load(), 0))
	c.FailureRate = e.failureRate()
	return c
}

package ack

import (
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Guards that a test may disable.
const (
	// GuardAskedAfter requires evidence whose query was sent after the commit.
	GuardAskedAfter guard.Name = "ack/asked-after-commit"
	// GuardPromised requires a replica that has promised no later term.
	GuardPromised guard.Name = "ack/promised"
	// GuardReached requires a replica that has the write.
	GuardReached guard.Name = "ack/replica-reached"
	// GuardTimeline checks the write against the starts of later terms.
	GuardTimeline guard.Name = "ack/timeline"
)

// Write is a committed write that waits for its acknowledgement.
type Write struct {
	// Primary is the server that committed the write, at Position.
	Primary  target.ID
	Position timeline.Position
	// Committed is when the primary's answer arrived.
	Committed clock.Time
	// Deadline is when the caller must be answered.
	Deadline   clock.Time
	Durability profile.Durability
}

// Result is the action to take for a write.
type Result uint8

const (
	// Wait means that the replicas are to be queried again.
	Wait Result = iota
	// Ack means that the write is to be acknowledged to the caller.
	Ack
	// Unknown means that the caller is to be answered that the outcome is unknown.
	Unknown
)

// String returns the result's name in logs.
func (r Result) String() string {
	switch r {
	case Ack:
		return "ack"
	case Unknown:
		return "unknown"
	default:
		return "wait"
	}
}

// Reason explains a Decision.
type Reason string

// Reasons of a Decision.
const (
	ReasonConfirmed Reason = "replica holds the write"
	ReasonWitnessed Reason = "replica has promised no later term"
	ReasonPermitted Reason = "permission for the term is live"
	ReasonWaiting   Reason = "evidence is awaited"
	ReasonDeadline  Reason = "deadline passed without evidence"
	ReasonDiscarded Reason = "a later term started before the write"
	ReasonOtherTerm Reason = "the write's term is not in the group's history"
)

// Decision is a gate's result for a write, with its reason.
type Decision struct {
	Result Result
	Reason Reason
}

// Gate decides whether a write may be acknowledged, given the current evidence. Its implementations
// are Confirm, Witness, Lease and Mix.
type Gate interface {
	Decide(w Write, e *Evidence, now clock.Time) Decision
}

// Confirm waits for a replica that has the write.
type Confirm struct {
	// Guards disables guards, in tests of this module only.
	Guards guard.Set
}

// Witness waits for a replica that has promised no later term.
type Witness struct {
	// Guards disables guards, in tests of this module only.
	Guards guard.Set
}

// Lease acknowledges writes while the group's permission is valid.
type Lease struct {
	// MaxDrift bounds the difference in rate between the clocks of a proxy and of the promoter, as
	// a fraction.
	MaxDrift float64
	// Margin is the time allowed for the answer to reach the caller.
	Margin time.Duration
}

// Mix uses the gate Confirmed for writes of Confirmed durability and the gate Other for all others.
type Mix struct {
	Confirmed, Other Gate
}

// Standard returns the gate that profiles assume.
func Standard() Gate { return Mix{Confirmed: Confirm{}, Other: Witness{}} }

// Decide implements Gate.
func (g Mix) Decide(w Write, e *Evidence, now clock.Time) Decision {
	if w.Durability == profile.Confirmed {
		return g.Confirmed.Decide(w, e, now)
	}
	return g.Other.Decide(w, e, now)
}

// Decide implements Gate.
func (g Confirm) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := rebase(w, e, g.Guards)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	for id, r := range e.reports {
		if id != w.Primary && g.confirms(w, r) {
			return Decision{Ack, ReasonConfirmed}
		}
	}
	return waitUntilDeadline(w, now)
}

// confirms reports whether a replica's report proves that the write survives a crash of the
// primary. The replica's term must be the write's own, because a replica on another branch may have
// a log of the same length with other entries.
func (g Confirm) confirms(w Write, r Report) bool {
	if !askedAfter(w, r, g.Guards) || !promisedNoLaterTerm(w, r, g.Guards) {
		return false
	}
	if g.Guards.Disabled(GuardReached) {
		return true
	}
	return r.Status.Term == w.Position.Term && r.Status.LSN >= w.Position.LSN
}

// Decide implements Gate.
func (g Witness) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := rebase(w, e, g.Guards)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	for id, r := range e.reports {
		if id != w.Primary && askedAfter(w, r, g.Guards) && promisedNoLaterTerm(w, r, g.Guards) {
			return Decision{Ack, ReasonWitnessed}
		}
	}
	return waitUntilDeadline(w, now)
}

// Decide implements Gate.
func (g Lease) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := rebase(w, e, nil)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	p := e.permission
	usable := time.Duration(float64(p.Duration)*(1-g.MaxDrift)) - g.Margin
	if p.Term == w.Position.Term && now.Before(p.Asked.Add(usable)) {
		return Decision{Ack, ReasonPermitted}
	}
	return waitUntilDeadline(w, now)
}

// askedAfter reports whether the query for the evidence was sent after the commit.
//
// Failure guarded against: an old or late answer of a replica shows no later promise, but since
// then the replica was fenced and another server was promoted. A superseded primary's write would
// be acknowledged.
func askedAfter(w Write, r Report, g guard.Set) bool {
	return g.Disabled(GuardAskedAfter) || !r.Asked.Before(w.Committed)
}

// promisedNoLaterTerm reports whether the replica has promised no term later than the write's.
//
// Failure guarded against: the primary was superseded while its answer was in transit. A replica
// that has promised a later term may belong to the majority that the promoter fenced, so its report
// no longer proves that the primary was current when it committed. Confirm would still lose
// nothing, because only the entries that a log had before it was fenced count; Witness depends on
// this check alone.
func promisedNoLaterTerm(w Write, r Report, g guard.Set) bool {
	return g.Disabled(GuardPromised) || r.Status.Promised <= w.Position.Term
}

// rebase checks the write against the group's history. A write that every later term retained is
// part of the newest term's log and must be confirmed there, so its term and primary are replaced
// by the group's.
//
// Failure guarded against: the primary was partitioned and superseded, and the caller receives an
// acknowledgement for a write that is missing from the new primary's log. The starts of the later
// terms reveal this. A history that contains later terms but not the write's own proves nothing
// about the write.
func rebase(w Write, e *Evidence, g guard.Set) (Write, Reason) {
	group := e.group
	if group == nil || group.Term <= w.Position.Term {
		return w, ""
	}
	if !containsTerm(group.History, w.Position.Term) {
		return w, ReasonOtherTerm
	}
	if group.History.WasDiscarded(w.Position) && !g.Disabled(GuardTimeline) {
		return w, ReasonDiscarded
	}
	w.Position.Term = group.Term
	w.Primary = group.Primary
	return w, ""
}

func containsTerm(h timeline.History, term timeline.Term) bool {
	return slices.ContainsFunc(h, func(s timeline.Start) bool { return s.Term == term })
}

// waitUntilDeadline returns Wait before the write's deadline and Unknown from then on.
func waitUntilDeadline(w Write, now clock.Time) Decision {
	if !now.Before(w.Deadline) {
		return Decision{Unknown, ReasonDeadline}
	}
	return Decision{Wait, ReasonWaiting}
}

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

// Guards that a test may take out.
const (
	// GuardAskedAfter is the demand for evidence from after the commit.
	GuardAskedAfter guard.Name = "ack/asked-after-commit"
	// GuardPromised is the demand for a replica that promised no later term.
	GuardPromised guard.Name = "ack/promised"
	// GuardReached is the demand for a replica that holds the write.
	GuardReached guard.Name = "ack/replica-reached"
	// GuardTimeline is the check of the write against the starts of later terms.
	GuardTimeline guard.Name = "ack/timeline"
)

// Write is a committed write that waits for its acknowledgement.
type Write struct {
	// Primary committed it, at Position.
	Primary  target.ID
	Position timeline.Position
	// Committed is when the primary's answer came.
	Committed clock.Time
	// Deadline is when the caller has to be answered.
	Deadline   clock.Time
	Durability profile.Durability
}

// Verdict says how to go on with a write.
type Verdict uint8

const (
	// Wait: ask the replicas again.
	Wait Verdict = iota
	// Ack: answer the caller that it is done.
	Ack
	// Unknown: answer the caller that the outcome is unknown.
	Unknown
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Ack:
		return "ack"
	case Unknown:
		return "unknown"
	default:
		return "wait"
	}
}

// Reason says why.
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

// Decision is a gate's answer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
}

// Gate decides on a write by the evidence at hand. Its implementations are
// Confirm, Witness, Lease and Mix.
type Gate interface {
	Decide(w Write, e *Evidence, now clock.Time) Decision
}

// Confirm waits for a replica that holds the write.
type Confirm struct {
	// Guards is for tests of this module only.
	Guards guard.Set
}

// Witness waits for a replica that has promised no later term.
type Witness struct {
	// Guards is for tests of this module only.
	Guards guard.Set
}

// Lease acknowledges while the group's permission lasts.
type Lease struct {
	// MaxDrift bounds the difference in rate between the clocks of a proxy and
	// of the promoter, as a fraction.
	MaxDrift float64
	// Margin is what the answer's way to the caller may take.
	Margin time.Duration
}

// Mix uses one gate for writes of Confirmed durability and another for the rest.
type Mix struct {
	Confirmed, Rest Gate
}

// Standard is the gate that profiles are written for.
func Standard() Gate { return Mix{Confirmed: Confirm{}, Rest: Witness{}} }

// Decide implements Gate.
func (g Mix) Decide(w Write, e *Evidence, now clock.Time) Decision {
	if w.Durability == profile.Confirmed {
		return g.Confirmed.Decide(w, e, now)
	}
	return g.Rest.Decide(w, e, now)
}

// Decide implements Gate.
func (g Confirm) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := lift(w, e, g.Guards)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	for id, r := range e.reports {
		if id != w.Primary && g.confirms(w, r) {
			return Decision{Ack, ReasonConfirmed}
		}
	}
	return wait(w, now)
}

// confirms reports whether a replica's report proves that the write is kept.
// The term must be the write's own: a replica of another branch may have as
// long a log with other entries in it.
func (g Confirm) confirms(w Write, r Report) bool {
	if !askedAfter(w, r, g.Guards) || !unpromised(w, r, g.Guards) {
		return false
	}
	if g.Guards.Out(GuardReached) {
		return true
	}
	return r.Status.Term == w.Position.Term && r.Status.LSN >= w.Position.LSN
}

// Decide implements Gate.
func (g Witness) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := lift(w, e, g.Guards)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	for id, r := range e.reports {
		if id != w.Primary && askedAfter(w, r, g.Guards) && unpromised(w, r, g.Guards) {
			return Decision{Ack, ReasonWitnessed}
		}
	}
	return wait(w, now)
}

// Decide implements Gate.
func (g Lease) Decide(w Write, e *Evidence, now clock.Time) Decision {
	w, refused := lift(w, e, nil)
	if refused != "" {
		return Decision{Unknown, refused}
	}
	p := e.permission
	usable := time.Duration(float64(p.Duration)*(1-g.MaxDrift)) - g.Margin
	if p.Term == w.Position.Term && now.Before(p.Asked.Add(usable)) {
		return Decision{Ack, ReasonPermitted}
	}
	return wait(w, now)
}

// askedAfter reports whether the evidence is from after the commit.
//
// The failure: a replica's older answer, or one that came late, says that it
// had promised nothing, and since then it was fenced and another server
// promoted. The write would be acknowledged by a superseded primary.
func askedAfter(w Write, r Report, g guard.Set) bool {
	return g.Out(GuardAskedAfter) || !r.Asked.Before(w.Committed)
}

// unpromised reports whether the replica has promised no later term.
//
// The failure: the primary was superseded while its answer was on the way. A
// replica that has promised a later term may be one of the majority that the
// promoter relied on, so its word no longer shows that the primary led when it
// committed. Confirm would still lose nothing, since a fenced log only counts
// with what it held before; Witness rests on this check alone.
func unpromised(w Write, r Report, g guard.Set) bool {
	return g.Out(GuardPromised) || r.Status.Promised <= w.Position.Term
}

// lift checks the write against the group's history. A write that every later
// term kept is part of the newest term's log, and is to be confirmed there.
//
// The failure: the primary was cut off and superseded, and the caller is told
// "done" for a write that the new primary's log does not have. The starts of
// the later terms show it. A history that has later terms but not the write's
// own says nothing about it.
func lift(w Write, e *Evidence, g guard.Set) (Write, Reason) {
	group := e.group
	if group == nil || group.Term <= w.Position.Term {
		return w, ""
	}
	if !knows(group.History, w.Position.Term) {
		return w, ReasonOtherTerm
	}
	if group.History.WasDiscarded(w.Position) && !g.Out(GuardTimeline) {
		return w, ReasonDiscarded
	}
	w.Position.Term = group.Term
	w.Primary = group.Primary
	return w, ""
}

func knows(h timeline.History, term timeline.Term) bool {
	return slices.ContainsFunc(h, func(s timeline.Start) bool { return s.Term == term })
}

// wait gives up at the deadline.
func wait(w Write, now clock.Time) Decision {
	if !now.Before(w.Deadline) {
		return Decision{Unknown, ReasonDeadline}
	}
	return Decision{Wait, ReasonWaiting}
}

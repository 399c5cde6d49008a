package takeover

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Limit is how long after it was recorded an attempt may send orders.
	Limit = 2500 * time.Millisecond
	// Lapse is how long others watch an attempt before they take it for dead.
	// It exceeds Limit by the longest time that a call may be on its way.
	Lapse = 5 * time.Second
	// OwnLapse is the same for an attempt of this VM's own that a process before
	// has made: that one sends no further order. What it had sent must have arrived:
	// with the time that a process takes to be started anew this leaves it as long
	// as Lapse does after Limit.
	OwnLapse = 2 * time.Second
	// Settle is how long after another VM's attempt has ended no new one begins.
	// The platform lets the holder of a duty keep it for three seconds; and a
	// service that changes its primary again and again serves nobody, as when
	// two halves of the fleet each reach another target only.
	Settle = 3500 * time.Millisecond
	// Permission is how long after a witness was asked a VM may still take the
	// primary for unchanged without asking anew. An attempt waits it out after
	// its fences, unless every VM of the fleet has given its permission up. Own
	// requests and peers renew the witness about every 300 ms.
	Permission = 500 * time.Millisecond
	// SilentAfter is how long a primary must have failed to answer requests and
	// questions. Three questions of 100 ms fit, and a full queue of its requests
	// is worked off in 150 ms.
	SilentAfter = 350 * time.Millisecond
	// RefusedAfter and RefusedTimes are for a primary whose address refuses
	// connections: no process listens there, which a lost packet cannot feign.
	RefusedAfter = 80 * time.Millisecond
	// RefusedTimes is how many connections must have been refused.
	RefusedTimes = 2
	// StalledAfter is how long a primary that answers must have left every
	// write without an answer, as when its replicas cannot receive from it.
	StalledAfter = 600 * time.Millisecond
	// AbsentAfter is how long no target may have claimed to lead: a claim that
	// is on its way needs some hundred milliseconds.
	AbsentAfter = 1500 * time.Millisecond
	// CrowdedAfter is how long aged reads must have come too late at a primary that
	// alone can serve them. Too late is some half a second each, so that replicas that
	// are a moment behind pass by themselves; and all of them are asked how far they
	// are.
	CrowdedAfter = 300 * time.Millisecond
	// FarBehind is how far every replica must be behind then: what takes so long to
	// be applied outlasts a change of primary, some 0.5 s for those who write.
	FarBehind = 1500 * time.Millisecond
	// BehindEvery is the least time between a change of primary and one for this
	// reason: if the new primary's replicas fall behind as well, changes are no cure.
	BehindEvery = 10 * time.Second
	// TurnEvery separates the VMs that would make the same change, so that one
	// does while the others watch: a record in the store is known to all after
	// some 10 ms. Two that act at once cost a conflict and nothing more; a long
	// wait for the turns of VMs that cannot act costs every consumer.
	TurnEvery = 40 * time.Millisecond
	// maxTurns bounds the wait of the last VM of a large fleet.
	maxTurns = 8
)

// Reason says why a service needs another primary.
type Reason string

// Reasons.
const (
	// ReasonNone: it needs none.
	ReasonNone Reason = ""
	// ReasonLeaving: the primary drains.
	ReasonLeaving Reason = "leaving"
	// ReasonSilent: the primary does not answer.
	ReasonSilent Reason = "silent"
	// ReasonRefusing: nothing listens at the primary's address.
	ReasonRefusing Reason = "refusing"
	// ReasonStalled: the primary answers, but acknowledges no write.
	ReasonStalled Reason = "stalled"
	// ReasonBehind: the primary leads well, but all its replicas are far behind, and
	// it cannot serve all reads by itself. The platform's targets apply what they
	// have received as they are promoted, and the old primary, whose log is applied,
	// serves reads as a replica: two targets for them instead of one.
	ReasonBehind Reason = "behind"
	// ReasonAbsent: no target claims to lead.
	ReasonAbsent Reason = "absent"
	// ReasonAbandoned: it needs none, but an attempt was left unended.
	ReasonAbandoned Reason = "abandoned"
)

// Planned reports whether the old primary is expected to cooperate.
func (r Reason) Planned() bool { return r == ReasonLeaving || r == ReasonBehind }

// Unanswered reports whether what was asked of the primary went unanswered.
func (r Reason) Unanswered() bool { return r == ReasonSilent || r == ReasonRefusing }

// Answers reports whether the primary answers, whatever else ails the service.
func (r Reason) Answers() bool {
	return r == ReasonAbandoned || r == ReasonStalled || r == ReasonBehind
}

// Signs is what a VM has seen of a service's primary.
type Signs struct {
	// Known is set if some target is believed to lead.
	Known bool
	// Draining is set if the primary said that it leaves.
	Draining bool
	// Silent is how long it has failed to answer.
	Silent time.Duration
	// Refusals counts the connections refused in that time.
	Refusals int
	// Stalled is how long it has acknowledged no write though some wait.
	Stalled time.Duration
	// Crowded is how long aged reads have come too late there, as no replica could
	// serve them.
	Crowded time.Duration
	// Settled is how long the service's record of leadership has not changed.
	Settled time.Duration
	// Absent is how long nobody was believed to lead.
	Absent time.Duration
}

// Judge returns why the service needs another primary, if it does.
func Judge(s Signs) Reason {
	switch {
	case !s.Known && s.Absent >= AbsentAfter:
		return ReasonAbsent
	case !s.Known:
		return ReasonNone
	case s.Refusals >= RefusedTimes && s.Silent >= RefusedAfter:
		return ReasonRefusing
	case s.Silent >= SilentAfter:
		return ReasonSilent
	case s.Draining:
		return ReasonLeaving
	case s.Stalled >= StalledAfter:
		return ReasonStalled
	case s.Crowded >= CrowdedAfter && s.Settled >= BehindEvery:
		return ReasonBehind
	default:
		return ReasonNone
	}
}

// Turn is how long a VM waits before it makes a change that others may make as
// well. Each service has its own order of VMs.
func Turn(service, self string, vms []string) time.Duration {
	mine := xxhash.Sum64String(service + "/" + self)
	before := 0
	for _, vm := range vms {
		if vm != self && xxhash.Sum64String(service+"/"+vm) < mine {
			before++
		}
	}
	return time.Duration(min(before, maxTurns)) * TurnEvery
}

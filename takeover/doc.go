// Package takeover decides when a service gets a new primary, who makes the
// change, and which target it is. Package promoter carries the decisions out.
//
// # Why no acknowledged write is lost
//
// A commit is acknowledged once the primary and at least one other target hold
// it. A change of primary first stops every other target from receiving (a
// pause for a term above all known). From then on the old primary can
// acknowledge nothing, reachable or not, and whatever it has acknowledged is
// held by one of the paused targets. The one that holds the most is promoted.
// If one of them cannot be asked, it may be the only holder, and nobody is
// promoted until it can, or has left the service.
//
// If the old primary can be asked to step down, it says where its log ends; a
// target that holds that position holds everything, and no other is needed.
//
// # Why no two VMs act at once
//
// A change is an attempt recorded in the store by a conditional update. The
// revision of that update is the fencing token of the attempt's calls, so that
// a later holder always has a higher one. An attempt that nobody ends lapses
// when others have seen it unchanged for Lapse on their own clock; its holder
// sends no order after Limit, which is shorter by the time that a call may
// take to arrive.
//
// # Why a service's own failover machine is not used here
//
// Package failover numbers terms itself and orders a target to lead in one: its
// proofs need targets that keep a promise over a restart and take the term from
// the order. On this platform the platform numbers the terms, a restarted
// target forgets its pause, and each question takes one of three slots and is
// charged, where that machine asks every target ten times a second.
//
// The package is pure.
package takeover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// Limit is how long after it was recorded an attempt may send orders.
	Limit = 2500 * time.Millisecond
	// Lapse is how long others watch an attempt before they take it for dead.
	// It exceeds Limit by the longest time that a call may be on its way.
	Lapse = 5 * time.Second
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
	// ReasonAbsent: no target claims to lead.
	ReasonAbsent Reason = "absent"
)

// Copies is how many targets of a service hold a log, the primary included.
// The platform does not tell it; each service on the users' sheets has three.
const Copies = 3

// Enough is how many targets beside the old primary must be stopped for their
// logs together to hold every acknowledged commit: all but one of the copies.
//
// Failure guarded against: a promotion among what is left of a service. Two of
// three targets hold a commit; one of those is gone, the other is the primary
// that seems stuck, and the third one, which received nothing, is the only one
// that answers. It shows as purchases that were confirmed and are not there.
const Enough = Copies - 1

// Planned reports whether the old primary is expected to cooperate.
func (r Reason) Planned() bool { return r == ReasonLeaving }

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

// Fenced is a target that was stopped, and what it holds.
type Fenced struct {
	ID target.ID
	// Received is the end of what it has received.
	Received timeline.Position
	// Leaving is set if the target drains.
	Leaving bool
}

// ErrNoCandidate says that no fenced target surely holds every acknowledged
// commit.
var ErrNoCandidate = errors.New("no target surely holds every acknowledged commit")

// Choose returns the target to promote. Of those that hold the most, one that
// stays is preferred. If the old primary has told where its log ends, the
// chosen one must hold that.
func Choose(fenced []Fenced, end *timeline.Position) (Fenced, error) {
	if len(fenced) == 0 {
		return Fenced{}, ErrNoCandidate
	}
	best := slices.MaxFunc(fenced, func(a, b Fenced) int {
		if a.Received != b.Received {
			if a.Received.Less(b.Received) {
				return -1
			}
			return 1
		}
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.ID, b.ID)
	})
	if end == nil {
		return best, nil
	}
	return chooseHolding(fenced, *end)
}

func chooseHolding(fenced []Fenced, end timeline.Position) (Fenced, error) {
	var best *Fenced
	for i := range fenced {
		f := &fenced[i]
		if f.Received.Less(end) {
			continue
		}
		if best == nil || (best.Leaving && !f.Leaving) || (best.Leaving == f.Leaving && f.ID < best.ID) {
			best = f
		}
	}
	if best == nil {
		return Fenced{}, ErrNoCandidate
	}
	return *best, nil
}

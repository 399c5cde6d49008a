package takeover

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PromotionLimit is how long after it was recorded an attempt may order a promotion.
	PromotionLimit = 2500 * time.Millisecond
	// ExpireAfter is how long other VMs must see an attempt unchanged before they consider its
	// holder dead. It exceeds PromotionLimit by the longest time that a call may take to arrive.
	ExpireAfter = 5 * time.Second
	// OwnExpireAfter is the same for an attempt that an earlier process of this VM has made: that
	// process sends no further command. Commands that it has sent must have arrived: together with
	// the time that a process takes to restart, this leaves them as long as ExpireAfter does after
	// PromotionLimit.
	OwnExpireAfter = 2 * time.Second
	// SettlePeriod is how long after the end of another VM's attempt no new one begins. The
	// platform lets the holder of a duty keep it for three seconds. A service that changes its
	// primary again and again, as when each half of the fleet reaches a different target, serves no
	// requests.
	SettlePeriod = 3500 * time.Millisecond
	// Permission is how long after a witness was queried a VM may still assume that the primary is
	// unchanged, without a query of its own. An attempt waits this time after its fences, unless
	// every VM of the fleet has given up its permission. The VM's own requests and its peers renew
	// the witness about every 300 ms.
	Permission = 500 * time.Millisecond
	// UnresponsiveAfter is how long a primary must have failed to answer requests and status
	// queries. Three queries of 100 ms fit into it, and the primary works off a full queue of
	// requests in 150 ms.
	UnresponsiveAfter = 350 * time.Millisecond
	// RefusedAfter is how long a primary must have failed to answer if its address refuses
	// connections: no process listens there, which packet loss cannot cause.
	RefusedAfter = 80 * time.Millisecond
	// RefusedTimes is how many connections must have been refused in that time.
	RefusedTimes = 2
	// StalledAfter is how long a primary that answers must have left every write unanswered, as
	// when its replicas cannot receive its log.
	StalledAfter = 600 * time.Millisecond
	// AbsentAfter is how long no target may have claimed to lead: a new claim takes some hundred
	// milliseconds to arrive.
	AbsentAfter = 1500 * time.Millisecond
	// ReadsLateAfter is how long bounded-staleness reads that only the primary can serve must have
	// been late there. Each of them is late by about half a second, so that replicas that lag only
	// briefly recover before. An attempt also queries the lag of all replicas.
	ReadsLateAfter = 300 * time.Millisecond
	// FarBehind is how far every replica must then lag: a backlog of that length outlasts a change
	// of primary, which takes about 0.5 s for writes.
	FarBehind = 1500 * time.Millisecond
	// BehindEvery is the least time between a change of primary and the next one for ReasonBehind:
	// if the new primary's replicas fall behind as well, further changes do not help.
	BehindEvery = 10 * time.Second
	// StaggerInterval separates the VMs that would make the same change, so that one makes it while
	// the others watch: VMs that watch the store learn of a record within some 10 ms. Two VMs that act
	// at once cause a conflict in the store and nothing else, whereas a long wait for VMs that
	// cannot act delays every consumer.
	StaggerInterval = 40 * time.Millisecond
	// maxStaggerSteps bounds the delay of the last VM of a large fleet.
	maxStaggerSteps = 8
	// recordSpreadTime is how long a record that one VM has written takes to reach most of a large
	// fleet through its peers.
	recordSpreadTime = time.Second
)

// Reason is why a service needs another primary.
type Reason string

// Reasons.
const (
	// ReasonNone: it needs no other primary.
	ReasonNone Reason = ""
	// ReasonLeaving: the primary is draining.
	ReasonLeaving Reason = "leaving"
	// ReasonUnresponsive: the primary does not answer.
	ReasonUnresponsive Reason = "silent"
	// ReasonRefusing: nothing listens at the primary's address.
	ReasonRefusing Reason = "refusing"
	// ReasonStalled: the primary answers, but acknowledges no write.
	ReasonStalled Reason = "stalled"
	// ReasonBehind: the primary works, but all its replicas lag far behind, and it cannot serve all
	// reads alone. The platform's targets apply what they have received as they are promoted, and
	// the old primary, whose log is applied, serves reads as a replica: two targets serve reads
	// instead of one.
	ReasonBehind Reason = "behind"
	// ReasonAbsent: no target claims to lead.
	ReasonAbsent Reason = "absent"
	// ReasonAbandoned: it needs no other primary, but an attempt was not ended by its holder.
	ReasonAbandoned Reason = "abandoned"
)

// Planned reports whether the old primary is expected to cooperate.
func (r Reason) Planned() bool { return r == ReasonLeaving || r == ReasonBehind }

// Unanswered reports whether the primary has left requests and queries unanswered.
func (r Reason) Unanswered() bool { return r == ReasonUnresponsive || r == ReasonRefusing }

// Listed reports whether every VM of the fleet finds the reason in the lists, and not only the VMs
// whose requests meet the fault.
func (r Reason) Listed() bool {
	return r == ReasonLeaving || r == ReasonAbsent || r == ReasonAbandoned
}

// Answers reports whether the primary answers, whatever other fault the service has.
func (r Reason) Answers() bool {
	return r == ReasonAbandoned || r == ReasonStalled || r == ReasonBehind
}

// Symptoms is what a VM has observed of a service's primary.
type Symptoms struct {
	// Known is set if some target is considered the primary.
	Known bool
	// Draining is set if the primary has reported that it is draining.
	Draining bool
	// Unresponsive is how long the primary has failed to answer.
	Unresponsive time.Duration
	// Refusals counts the connections refused in that time.
	Refusals int
	// Stalled is how long it has acknowledged no write although some are waiting.
	Stalled time.Duration
	// ReadsLate is how long bounded-staleness reads that no replica could serve have been late at
	// the primary.
	ReadsLate time.Duration
	// Settled is how long the service's leadership record has not changed.
	Settled time.Duration
	// Absent is how long no target has been considered the primary.
	Absent time.Duration
}

// Diagnose returns why the service needs another primary, or ReasonNone.
func Diagnose(s Symptoms) Reason {
	switch {
	case !s.Known && s.Absent >= AbsentAfter:
		return ReasonAbsent
	case !s.Known:
		return ReasonNone
	case s.Refusals >= RefusedTimes && s.Unresponsive >= RefusedAfter:
		return ReasonRefusing
	case s.Unresponsive >= UnresponsiveAfter:
		return ReasonUnresponsive
	case s.Draining:
		return ReasonLeaving
	case s.Stalled >= StalledAfter:
		return ReasonStalled
	case s.ReadsLate >= ReadsLateAfter && s.Settled >= BehindEvery:
		return ReasonBehind
	default:
		return ReasonNone
	}
}

// StaggerDelay is how long a VM waits before it makes a change that others may make as well. Each
// service has its own order of VMs, in which those named by slow, a sorted list, come after all
// others.
func StaggerDelay(service, self string, vms []string, slow ...string) time.Duration {
	return time.Duration(min(rank(service, self, vms, slow), maxStaggerSteps)) * StaggerInterval
}

// ListedStaggerDelay is StaggerDelay for a reason that every VM finds in the lists. After the first
// few VMs, each further group of VMs is twice as large as all before it, and waits until it would
// have learned that one of those makes the change.
//
// Failure guarded against: in a large fleet most VMs have the longest StaggerDelay. They learn of a
// draining primary and of the attempt to replace it from their peers, at about the same time, and
// those that learn of the primary first all query its targets and try to record an attempt.
func ListedStaggerDelay(service, self string, vms []string, slow ...string) time.Duration {
	before := rank(service, self, vms, slow)
	delay := time.Duration(min(before, maxStaggerSteps)) * StaggerInterval
	for group := maxStaggerSteps; group <= before; group *= 2 {
		delay += recordSpreadTime
	}
	return delay
}

// rank is the number of VMs before this one in the service's order, in which those in slow come
// after all others.
func rank(service, self string, vms, slow []string) int {
	own := xxhash.Sum64String(service + "/" + self)
	_, ownSlow := slices.BinarySearch(slow, self)
	before := 0
	for _, vm := range vms {
		switch _, vmSlow := slices.BinarySearch(slow, vm); {
		case vm == self:
		case vmSlow == ownSlow && xxhash.Sum64String(service+"/"+vm) < own, ownSlow && !vmSlow:
			before++
		}
	}
	return before
}

package routing

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/view"
)

// MaxCandidates bounds the number of a group's servers that are considered; further servers of a
// larger group are ignored. Groups have three servers.
const MaxCandidates = 6

// Reason explains a Decision. It is recorded with the request.
type Reason uint8

const (
	// ReasonNone means that no server can take the request now.
	ReasonNone Reason = iota
	// ReasonWrite means that the kind writes, or was not declared a read.
	ReasonWrite
	// ReasonExact means that the read requires the primary's data.
	ReasonExact
	// ReasonReplica means that a replica qualified.
	ReasonReplica
	// ReasonPrimaryFallback means that no replica qualified in time.
	ReasonPrimaryFallback
	// ReasonAwaitReplica means that a replica is expected to qualify soon.
	ReasonAwaitReplica
	// ReasonProtectPrimary means that all replicas are behind and the primary is busy.
	ReasonProtectPrimary
	// ReasonNoPrimary means that the primary is draining, is unknown, or does not cover the
	// session's floor in this view.
	ReasonNoPrimary
	// ReasonTrickle means that a server that has answered nothing recently receives one request to
	// detect whether it has recovered.
	ReasonTrickle
)

var reasonNames = [...]string{
	"none", "write", "exact", "replica", "primary-fallback",
	"await-replica", "protect-primary", "no-primary", "trickle",
}

// String returns the reason's name in logs and in the recorded decision.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "none"
}

// Candidate is a server that may serve the read, with its evidence.
type Candidate struct {
	Server *view.Server
	// ServiceTime is the expected time of one request.
	ServiceTime time.Duration
	// Outstanding is the number of this proxy's unanswered requests at the server.
	Outstanding int
	// FailureRate is the recent fraction of failures, from 0 to 1.
	FailureRate float64
	// Local reports whether the server is in the proxy's availability zone.
	Local    bool
	evidence *evidence
}

// Candidates is the input of a Policy. It is passed by value, so that a choice allocates nothing.
type Candidates struct {
	// Replicas contains N replicas that qualify now.
	Replicas [MaxCandidates]Candidate
	N        int
	// Primary qualifies if its Server is not nil.
	Primary Candidate
	// CatchUp is the time after which a replica is expected to qualify. It is valid only if
	// CatchUpKnown is true.
	CatchUp      time.Duration
	CatchUpKnown bool
	// Waited is how long the request has waited for a server.
	Waited time.Duration
	// Deadline is the total time that the caller waits.
	Deadline time.Duration
	// Now is the time of the decision.
	Now clock.Time
}

// Policy chooses among servers that qualify. Implementations have no mutable state.
type Policy interface {
	// Name is the policy's name in settings and tables.
	Name() string
	// Choose returns one of the candidates, or a time to wait. rnd is a new random number for each
	// call.
	Choose(c Candidates, rnd uint64) Decision
}

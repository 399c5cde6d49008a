package routing

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/view"
)

// MaxCandidates bounds the servers of a group that are weighed; the rest of a
// larger group is not considered. Groups have three servers.
const MaxCandidates = 6

// Reason says why a decision was made. It is recorded with the request.
type Reason uint8

const (
	// ReasonNone means that no server can take the request now.
	ReasonNone Reason = iota
	// ReasonWrite means that the kind writes, or was not declared a read.
	ReasonWrite
	// ReasonExact means that the read asks for what the primary holds.
	ReasonExact
	// ReasonReplica means that a replica qualified.
	ReasonReplica
	// ReasonPrimaryFallback means that no replica qualified in time.
	ReasonPrimaryFallback
	// ReasonAwaitReplica means that a replica is about to qualify.
	ReasonAwaitReplica
	// ReasonProtectPrimary means that all replicas are behind and the primary
	// has enough to do.
	ReasonProtectPrimary
	// ReasonNoPrimary means that the primary drains, is not known, or has not
	// reached the session's floor in this view.
	ReasonNoPrimary
	// ReasonTrickle means that a server which had answered nothing for a while
	// got one request to show whether it has recovered.
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
	// Service is the expected time of one request.
	Service time.Duration
	// Outstanding counts this proxy's requests at the server.
	Outstanding int
	// Failing is the recent share of failures, from 0 to 1.
	Failing float64
	// Local is true in the caller's availability zone.
	Local bool
	board *evidence
}

// Candidates is what a Policy chooses from. It is passed by value, so that a
// choice allocates nothing.
type Candidates struct {
	// Replicas holds N replicas that qualify now.
	Replicas [MaxCandidates]Candidate
	N        int
	// Primary qualifies if its Server is not nil.
	Primary Candidate
	// CatchUp is the time after which a replica is expected to qualify; it is
	// known only if CatchUpKnown.
	CatchUp      time.Duration
	CatchUpKnown bool
	// Waited is how long the request has waited for a server.
	Waited time.Duration
	// Deadline is how long the caller waits in all.
	Deadline time.Duration
	// Now is the instant of the decision.
	Now clock.Time
}

// Policy chooses among servers that qualify. Implementations hold no state that
// changes; rnd is a fresh random number for each call.
type Policy interface {
	// Name is the policy's name in settings and tables.
	Name() string
	// Choose returns one of the candidates, or a time to wait.
	Choose(c Candidates, rnd uint64) Decision
}

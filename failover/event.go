package failover

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Event is the input that a driver passes to Machine.Step. The error fields of events contain the
// errors that packages platform and target document, possibly wrapped.
type Event interface{ event() }

// Tick signals that time has passed. It is due every Config.Tick; from a longer gap the Machine
// concludes that its own process was paused.
type Tick struct{}

// ProbeAnswered is a server's answer to a Probe.
type ProbeAnswered struct {
	Server target.ID
	// Asked is when the probe was sent; the evidence is as of that time.
	Asked  clock.Time
	Status target.Status
}

// ProbeFailed reports that a probe was refused or timed out.
type ProbeFailed struct {
	Server target.ID
	Asked  clock.Time
}

// PeerReport is another VM's evidence of a server.
type PeerReport struct {
	// VM and Zone are the reporting VM and its availability zone.
	VM, Zone string
	Server   target.ID
	// Asked is when this VM sent the query, on its own clock.
	Asked clock.Time
	// Seen is false if the peer has never received an answer from the server, or has not observed
	// it for long enough to report on it.
	Seen bool
	// LastGood is the age of the peer's newest successful answer from the server at the time of
	// the report.
	LastGood time.Duration
	// Status is the status in that answer.
	Status target.Status
}

// GroupLearned carries the group's object as read from or watched in the store or, with Version 0,
// as announced by a peer. After a failed ReadGroup only Err is set.
type GroupLearned struct {
	Group   view.Group
	Version store.Version
	Err     error
}

// LeaseResult answers ReadLease and RenewLease.
type LeaseResult struct {
	// Holder is the incarnation in the lease object after the call; empty if there is none.
	Holder string
	// Version is the lease object's version after the call.
	Version store.Version
	// Asked is the action's Asked.
	Asked clock.Time
	// Err is nil or a failure of the store. A driver whose RenewLease fails with a
	// *store.ConflictError may report that error unchanged.
	Err error
}

// ReserveResult answers Reserve.
type ReserveResult struct {
	// Term is the action's Group.Reserved.
	Term timeline.Term
	// Version is the object's new version when Err is nil.
	Version store.Version
	Err     error
}

// FenceAnswered answers Fence.
type FenceAnswered struct {
	Server target.ID
	Term   timeline.Term
	// Status is the server's status report after its promise.
	Status target.Status
	Err    error
}

// PromoteAnswered answers Promote.
type PromoteAnswered struct {
	Server target.ID
	Term   timeline.Term
	Status target.Status
	Err    error
}

// FollowAnswered answers Follow.
type FollowAnswered struct {
	Server    target.ID
	Term      timeline.Term
	Discarded []target.Entry
	Err       error
}

// PublishResult answers Publish.
type PublishResult struct {
	// Term is the action's Group.Term.
	Term timeline.Term
	// Version is the object's new version when Err is nil.
	Version store.Version
	Err     error
}

// HandoverRequested requests a planned change of primary away from Server, which is to be drained.
// It is ignored if Server is not the primary.
type HandoverRequested struct {
	Server target.ID
}

func (Tick) event()              {}
func (ProbeAnswered) event()     {}
func (ProbeFailed) event()       {}
func (PeerReport) event()        {}
func (GroupLearned) event()      {}
func (LeaseResult) event()       {}
func (ReserveResult) event()     {}
func (FenceAnswered) event()     {}
func (PromoteAnswered) event()   {}
func (FollowAnswered) event()    {}
func (PublishResult) event()     {}
func (HandoverRequested) event() {}

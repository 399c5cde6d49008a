package failover

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Event is what a driver passes to Machine.Step. The error fields of events
// hold the errors that packages platform and target document; wrapping them is
// allowed.
type Event interface{ event() }

// Tick says that time has passed. It is due every Config.Tick; a longer gap
// tells the Machine that its own process was paused.
type Tick struct{}

// ProbeAnswered is a server's answer to a Probe.
type ProbeAnswered struct {
	Server target.ID
	// Asked is when the probe was sent: the evidence is of that time.
	Asked  clock.Time
	Status target.Status
}

// ProbeFailed says that a probe was refused, or not answered in time.
type ProbeFailed struct {
	Server target.ID
	Asked  clock.Time
}

// PeerReport is another VM's evidence of a server.
type PeerReport struct {
	// VM and Zone are the reporting VM and its availability zone.
	VM, Zone string
	Server   target.ID
	// Asked is when this VM sent the question, on its own clock.
	Asked clock.Time
	// Seen is false when the peer has never had an answer from the server, or
	// has not watched it for long enough to tell.
	Seen bool
	// LastGood is the age of the peer's newest good answer from the server,
	// when the peer reported.
	LastGood time.Duration
	// Status is that answer.
	Status target.Status
}

// GroupLearned is the group's object as read or watched in the store, or, with
// Version 0, as a peer announced it. A failed ReadGroup reports Err alone.
type GroupLearned struct {
	Group   view.Group
	Version store.Version
	Err     error
}

// LeaseResult answers ReadLease and RenewLease.
type LeaseResult struct {
	// Holder is the incarnation in the lease object after the call; empty if
	// there is none.
	Holder string
	// Version is the lease object's version after the call.
	Version store.Version
	// Asked is the time that the action carried.
	Asked clock.Time
	// Err is nil, or a failure of the store. A driver that loses a RenewLease
	// to a *store.ConflictError may report the error as it is.
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
	// Status is the server's account of itself after its promise.
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

// Relieve asks for a planned change of primary away from Server, because it is
// to be drained. It is ignored when Server is not the primary.
type Relieve struct {
	Server target.ID
}

func (Tick) event()            {}
func (ProbeAnswered) event()   {}
func (ProbeFailed) event()     {}
func (PeerReport) event()      {}
func (GroupLearned) event()    {}
func (LeaseResult) event()     {}
func (ReserveResult) event()   {}
func (FenceAnswered) event()   {}
func (PromoteAnswered) event() {}
func (FollowAnswered) event()  {}
func (PublishResult) event()   {}
func (Relieve) event()         {}

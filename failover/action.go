package failover

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Action is what Machine.Step asks its driver to do.
type Action interface{ action() }

// Probe asks a server for its Status. A probe is sent although the one before
// is not answered yet, so the driver must not queue them on one connection
// behind each other for longer than Config.ProbeTimeout.
type Probe struct {
	Server target.ID
	Asked  clock.Time
}

// AskPeers asks VMs of every availability zone what they know of a server. A
// peer that has no evidence of its own probes the server before it answers.
type AskPeers struct {
	Server target.ID
	Asked  clock.Time
}

// ReadLease reads the object "leases/<group>".
type ReadLease struct {
	Asked clock.Time
}

// RenewLease writes the object "leases/<group>", with Holder in it, if it has
// the version ExpectVersion (0: absent).
type RenewLease struct {
	Holder        string
	ExpectVersion store.Version
	Asked         clock.Time
}

// ReadGroup reads the object "groups/<name>".
type ReadGroup struct{}

// Reserve writes Group to the object "groups/<name>" if that has the version
// ExpectVersion. It reserves the terms up to Group.Reserved.
type Reserve struct {
	Group         view.Group
	ExpectVersion store.Version
}

// Publish writes Group to the object "groups/<name>" if that has the version
// ExpectVersion. It makes a promotion lasting.
type Publish struct {
	Group         view.Group
	ExpectVersion store.Version
}

// Fence orders target.Database.Fence.
type Fence struct {
	Server target.ID
	Term   timeline.Term
}

// Promote orders target.Database.Promote.
type Promote struct {
	Server target.ID
	Term   timeline.Term
}

// Follow orders target.Database.Follow.
type Follow struct {
	Server target.ID
	// Primary is the id, and Addr the address, of the server to follow.
	Primary target.ID
	Addr    string
	Term    timeline.Term
}

// Announce tells this VM's own view and its peers of a promotion, at once and
// also when the store is down. It is repeated until the store has it.
type Announce struct {
	Group view.Group
}

// Record adds an entry to the audit trail. With the store down the driver keeps
// it until it can be written.
type Record struct {
	Entry Entry
}

func (Probe) action()      {}
func (AskPeers) action()   {}
func (ReadLease) action()  {}
func (RenewLease) action() {}
func (ReadGroup) action()  {}
func (Reserve) action()    {}
func (Publish) action()    {}
func (Fence) action()      {}
func (Promote) action()    {}
func (Follow) action()     {}
func (Announce) action()   {}
func (Record) action()     {}

package failover

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Action is a request from Machine.Step to its driver.
type Action interface{ action() }

// Probe queries a server's Status. The Machine emits a probe even if the previous one has not been
// answered, so the driver must not queue probes behind each other on one connection for longer than
// Config.ProbeTimeout.
type Probe struct {
	Server target.ID
	Asked  clock.Time
}

// QueryPeers queries VMs of every availability zone for their evidence of a server. A peer that has
// no evidence of its own probes the server before it replies.
type QueryPeers struct {
	Server target.ID
	Asked  clock.Time
}

// ReadLease reads the object "leases/<group>".
type ReadLease struct {
	Asked clock.Time
}

// RenewLease writes Holder to the object "leases/<group>" if the object has the version
// ExpectVersion (0: the object does not exist).
type RenewLease struct {
	Holder        string
	ExpectVersion store.Version
	Asked         clock.Time
}

// ReadGroup reads the object "groups/<name>".
type ReadGroup struct{}

// Reserve writes Group to the object "groups/<name>" if the object has the version ExpectVersion.
// The write reserves the terms up to Group.Reserved.
type Reserve struct {
	Group         view.Group
	ExpectVersion store.Version
}

// Publish writes Group to the object "groups/<name>" if the object has the version ExpectVersion.
// The write makes a promotion durable.
type Publish struct {
	Group         view.Group
	ExpectVersion store.Version
}

// Fence calls target.Database.Fence on a server.
type Fence struct {
	Server target.ID
	Term   timeline.Term
}

// Promote calls target.Database.Promote on a server.
type Promote struct {
	Server target.ID
	Term   timeline.Term
}

// Follow calls target.Database.Follow on a server.
type Follow struct {
	Server target.ID
	// Primary and Addr are the id and address of the server to follow.
	Primary target.ID
	Addr    string
	Term    timeline.Term
}

// Announce passes a promotion to this VM's own view and to its peers, immediately and even while
// the store is unavailable. It is repeated until the store has the promotion.
type Announce struct {
	Group view.Group
}

// Record adds an entry to the audit trail. While the store is unavailable, the driver buffers the
// entry until it can be written.
type Record struct {
	Entry Entry
}

func (Probe) action()      {}
func (QueryPeers) action() {}
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

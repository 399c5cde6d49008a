package failover

import (
	"time"

	"endivemoor.example/endivemoor/internal/guard"
)

// Config sets a Machine's identity and times. Default gives the times.
type Config struct {
	// VM is this VM's id and Zone its availability zone.
	VM, Zone string
	// Incarnation is unique to this run of the process, such as the VM's id
	// with a random suffix. Leases and terms are held in its name.
	Incarnation string
	// Zones are the availability zones in which the fleet has VMs, from the
	// settings. The platform's list of VMs lags and must not be used: a list
	// that shows one zone would let that zone alone depose a primary. Empty
	// means the zones of the group's servers.
	Zones []string

	// Tick is the interval at which the driver sends Tick.
	Tick time.Duration
	// Heartbeat is the interval between probes of one server.
	Heartbeat time.Duration
	// ProbeTimeout is when the driver reports an unanswered probe as failed.
	ProbeTimeout time.Duration
	// SuspectAfter is the age of the newest answer from which on a server is
	// taken for silent.
	SuspectAfter time.Duration
	// MissedProbes is how many probes must fail, with no answer in between,
	// for a server to be taken for silent before SuspectAfter.
	MissedProbes int
	// StartupGrace is added to SuspectAfter for a server never heard of.
	StartupGrace time.Duration
	// ReportTTL is how long a peer's report counts.
	ReportTTL time.Duration
	// AskEvery is the interval between questions to peers while the primary is
	// silent.
	AskEvery time.Duration

	// LeaseDuration is how long a lease lasts after its renewal was sent.
	LeaseDuration time.Duration
	// LeaseRenew is the interval between renewals, and for other VMs between
	// reads of the lease.
	LeaseRenew time.Duration
	// TakeoverDelay is how long a VM without the lease waits, after two zones
	// agree, before it acts itself. Each VM adds up to half of it at random, so
	// that two of them seldom act together.
	TakeoverDelay time.Duration

	// ReserveBlock is how many terms are reserved at once. Each candidate that
	// dies uses one, also while the store is down.
	ReserveBlock int
	// StoreTimeout is when an unanswered call to the store is read back.
	StoreTimeout time.Duration
	// StoreRetry is the interval between tries of a call to the store.
	StoreRetry time.Duration

	// OrderRetry is the interval between repetitions of an unanswered Fence,
	// Promote or Follow.
	OrderRetry time.Duration
	// FenceTimeout is when an attempt that no server has answered is given up.
	FenceTimeout time.Duration
	// CandidateTimeout is how long a candidate may take to be promoted before
	// the next term is tried.
	CandidateTimeout time.Duration
	// PromoteDelay is how long a promoter waits after a majority's promise. Zero
	// for the gates Confirm and Witness; with ack.Lease it must be at least the
	// duration of a permission on the fastest clock.
	PromoteDelay time.Duration
	// HandoverTimeout is how long a planned change waits for a replica to catch
	// up before it chooses among all servers, the old primary included.
	HandoverTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait after an attempt was refused.
	// The wait doubles and is drawn at random from its upper half.
	BackoffMin, BackoffMax time.Duration
	// BlockedAfter is how long the primary may be fenced at a term that has no
	// primary, before a promotion ends that. It is longer than a promotion.
	BlockedAfter time.Duration
	// RepairAfter is how long a replica may stand still behind its primary, or
	// be fenced at a term without a primary, before it is mended.
	RepairAfter time.Duration

	// Guards is for tests of this module only.
	Guards guard.Set
}

// Default returns the times for availability zones that are a few milliseconds
// apart. Identity fields are empty.
func Default() Config {
	return Config{
		Tick:             20 * time.Millisecond,
		Heartbeat:        100 * time.Millisecond,
		ProbeTimeout:     250 * time.Millisecond,
		SuspectAfter:     500 * time.Millisecond,
		MissedProbes:     4,
		StartupGrace:     2 * time.Second,
		ReportTTL:        500 * time.Millisecond,
		AskEvery:         100 * time.Millisecond,
		LeaseDuration:    6 * time.Second,
		LeaseRenew:       2 * time.Second,
		TakeoverDelay:    700 * time.Millisecond,
		ReserveBlock:     4,
		StoreTimeout:     500 * time.Millisecond,
		StoreRetry:       500 * time.Millisecond,
		OrderRetry:       150 * time.Millisecond,
		FenceTimeout:     time.Second,
		CandidateTimeout: 600 * time.Millisecond,
		HandoverTimeout:  1500 * time.Millisecond,
		BackoffMin:       200 * time.Millisecond,
		BackoffMax:       3 * time.Second,
		BlockedAfter:     time.Second,
		RepairAfter:      1500 * time.Millisecond,
	}
}

// Scaled returns c with another heartbeat, and with the times that go by it in
// proportion. A longer heartbeat costs less and finds failures later.
func (c Config) Scaled(heartbeat time.Duration) Config {
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(heartbeat) / float64(c.Heartbeat))
	}
	c.ProbeTimeout = scale(c.ProbeTimeout)
	c.SuspectAfter = scale(c.SuspectAfter)
	c.ReportTTL = scale(c.ReportTTL)
	c.AskEvery = scale(c.AskEvery)
	c.Heartbeat = heartbeat
	return c
}

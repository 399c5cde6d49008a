package failover

import (
	"time"

	"endivemoor.example/endivemoor/internal/guard"
)

// Config sets a Machine's identity and timing. Default returns the default timing.
type Config struct {
	// VM is this VM's id, and Zone is its availability zone.
	VM, Zone string
	// Incarnation is unique to this process, such as the VM's id with a random suffix. It is the
	// recorded holder of leases and terms.
	Incarnation string
	// Zones are the availability zones in which the fleet has VMs, from the settings. The
	// platform's list of VMs lags and must not be used: with a list that shows only one zone,
	// that zone alone could replace a primary. Empty means the zones of the group's servers.
	Zones []string

	// Tick is the interval at which the driver sends Tick.
	Tick time.Duration
	// Heartbeat is the interval between probes of one server.
	Heartbeat time.Duration
	// ProbeTimeout is the time after which the driver reports an unanswered probe as failed.
	ProbeTimeout time.Duration
	// SuspectAfter is the age of the newest answer at which a server is considered unresponsive.
	SuspectAfter time.Duration
	// MissedProbes is the number of consecutive failed probes after which a server is considered
	// unresponsive before SuspectAfter.
	MissedProbes int
	// StartupGrace is added to SuspectAfter for a server that has never answered.
	StartupGrace time.Duration
	// ReportTTL is how long a peer's report is valid.
	ReportTTL time.Duration
	// PeerQueryInterval is the interval between queries to peers while the primary is
	// unresponsive.
	PeerQueryInterval time.Duration

	// LeaseDuration is how long a lease is valid after its renewal was sent.
	LeaseDuration time.Duration
	// LeaseRenew is the interval between the holder's renewals, and between other VMs' reads of
	// the lease.
	LeaseRenew time.Duration
	// TakeoverDelay is how long a VM without the lease waits after two zones agree before it acts
	// itself. Each VM adds a random delay of up to half of it, so that two VMs rarely act at the
	// same time.
	TakeoverDelay time.Duration

	// ReserveBlock is the number of terms reserved at once. Each candidate that fails uses one
	// term, and no more can be reserved while the store is unavailable.
	ReserveBlock int
	// StoreTimeout is the time after which the outcome of an unanswered write to the store is
	// resolved by reading the object.
	StoreTimeout time.Duration
	// StoreRetry is the interval between retries of a call to the store.
	StoreRetry time.Duration

	// CommandRetry is the interval between repetitions of an unanswered Fence, Promote or Follow.
	CommandRetry time.Duration
	// FenceTimeout is the time after which an attempt that no server has answered is ended.
	FenceTimeout time.Duration
	// CandidateTimeout is how long the promotion of a candidate may take before the next term is
	// tried.
	CandidateTimeout time.Duration
	// PromoteDelay is how long a promoter waits after a majority has promised its term. It is zero
	// for the gates ack.Confirm and ack.Witness; with ack.Lease it must be at least the duration
	// of a permission on the fastest clock.
	PromoteDelay time.Duration
	// HandoverTimeout is how long a planned change waits for a replica to catch up before it
	// chooses among all servers, including the old primary.
	HandoverTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff after a server refused an attempt. The backoff
	// doubles each time, and the wait is drawn at random from its upper half.
	BackoffMin, BackoffMax time.Duration
	// BlockedAfter is how long the primary may be fenced at a term that has no primary before a
	// promotion at a later term is due. It must be longer than a promotion takes.
	BlockedAfter time.Duration
	// RepairAfter is how long a replica may make no progress behind its primary, or be fenced at
	// a term without a primary, before it is repaired.
	RepairAfter time.Duration

	// Guards disables guards, in tests of this module only.
	Guards guard.Set
}

// Default returns timing for availability zones that are a few milliseconds apart. The identity
// fields are empty.
func Default() Config {
	return Config{
		Tick:              20 * time.Millisecond,
		Heartbeat:         100 * time.Millisecond,
		ProbeTimeout:      250 * time.Millisecond,
		SuspectAfter:      500 * time.Millisecond,
		MissedProbes:      4,
		StartupGrace:      2 * time.Second,
		ReportTTL:         500 * time.Millisecond,
		PeerQueryInterval: 100 * time.Millisecond,
		LeaseDuration:     6 * time.Second,
		LeaseRenew:        2 * time.Second,
		TakeoverDelay:     700 * time.Millisecond,
		ReserveBlock:      4,
		StoreTimeout:      500 * time.Millisecond,
		StoreRetry:        500 * time.Millisecond,
		CommandRetry:      150 * time.Millisecond,
		FenceTimeout:      time.Second,
		CandidateTimeout:  600 * time.Millisecond,
		HandoverTimeout:   1500 * time.Millisecond,
		BackoffMin:        200 * time.Millisecond,
		BackoffMax:        3 * time.Second,
		BlockedAfter:      time.Second,
		RepairAfter:       1500 * time.Millisecond,
	}
}

// Scaled returns c with the given heartbeat and with the times that depend on it scaled in
// proportion. A longer heartbeat costs less and detects failures later.
func (c Config) Scaled(heartbeat time.Duration) Config {
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(heartbeat) / float64(c.Heartbeat))
	}
	c.ProbeTimeout = scale(c.ProbeTimeout)
	c.SuspectAfter = scale(c.SuspectAfter)
	c.ReportTTL = scale(c.ReportTTL)
	c.PeerQueryInterval = scale(c.PeerQueryInterval)
	c.Heartbeat = heartbeat
	return c
}

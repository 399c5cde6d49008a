package admission

import "time"

// Ticket identifies a request within its Queue.
type Ticket uint64

// Cause is the reason for a refusal. The zero value means that the request was not refused.
type Cause uint8

const (
	// CauseNone means that the request was not refused.
	CauseNone Cause = iota
	// CauseHopeless means that the request would probably miss its deadline in the queue.
	CauseHopeless
	// CauseFull means that the queue is full.
	CauseFull
	// CauseEvicted means that the request was removed to make room for one of higher worth.
	CauseEvicted
	// CauseExpired means that the request's deadline passed while it waited.
	CauseExpired
)

// String returns the cause's name in logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseHopeless:
		return "hopeless"
	case CauseFull:
		return "full"
	case CauseEvicted:
		return "evicted"
	case CauseExpired:
		return "expired"
	default:
		return "none"
	}
}

// Refusal is the final answer to a request that is not run.
type Refusal struct {
	Ticket Ticket
	Cause  Cause
	// RetryAfter is the expected time to drain the queue, with jitter.
	RetryAfter time.Duration
}

// Offered is the answer to a new request: it is granted a slot, it waits, or it is refused.
type Offered struct {
	Ticket  Ticket
	Granted bool
	// Refused is the refusal of the request, if its cause is not CauseNone.
	Refused Refusal
	// Evicted is the refusal of a waiting request to make room for this one, if its cause is not
	// CauseNone.
	Evicted Refusal
}

// Config configures a Queue.
type Config struct {
	// Slots is the known number of statements that the target runs concurrently; default 3.
	Slots int
	// MaxQueued bounds the waiting requests; default 64.
	MaxQueued int
	// Policy defaults to DelayRatio.
	Policy Policy
	// FixedSlots disables the adaptation of the number of slots to the latency.
	FixedSlots bool
	// Seed seeds the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.MaxQueued <= 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.Policy == nil {
		c.Policy = DelayRatio{}
	}
	return c
}

const (
	defaultSlots     = 3
	defaultMaxQueued = 64
	// slack is the fraction of the expected wait that must fit before a deadline. It is below 1
	// because the estimate is a mean and an unnecessary refusal loses a request that could be served.
	slack = 0.8
)

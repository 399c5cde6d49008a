package admission

import "time"

// Ticket identifies a request within its Queue.
type Ticket uint64

// Cause says why a request was refused. The zero value means that it was not.
type Cause uint8

const (
	// CauseNone means that the request was not refused.
	CauseNone Cause = iota
	// CauseHopeless means that its deadline is nearer than the expected wait.
	CauseHopeless
	// CauseFull means that the queue is full.
	CauseFull
	// CauseEvicted means that it made room for a worthier request.
	CauseEvicted
	// CauseExpired means that its deadline passed while it waited.
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

// Refusal is the final answer to a request that will not run.
type Refusal struct {
	Ticket Ticket
	Cause  Cause
	// RetryAfter is when to come back: the time to drain what is queued, with
	// jitter.
	RetryAfter time.Duration
}

// Offered is the answer to a new request: it has a slot, it waits, or it is
// refused.
type Offered struct {
	Ticket  Ticket
	Granted bool
	// Refused is set if the cause is not CauseNone.
	Refused Refusal
	// Evicted is another, waiting request that is refused to make room; set if
	// its cause is not CauseNone.
	Evicted Refusal
}

// Config sets a Queue.
type Config struct {
	// Slots is the target's known number of statements at once; default 3.
	Slots int
	// MaxQueued bounds the waiting requests; default 64.
	MaxQueued int
	// Policy defaults to DelayRatio.
	Policy Policy
	// FixedSlots keeps the number of slots as it is set, whatever the latency.
	FixedSlots bool
	// Seed feeds the jitter.
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
	// slack is the part of the expected wait that must fit before a deadline:
	// the estimate is a mean, and a refusal that was not needed costs worth.
	slack = 0.8
)

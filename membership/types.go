package membership

import (
	"time"

	"endivemoor.example/endivemoor/store"
)

// VM is a member of the fleet.
type VM struct {
	ID   string
	Zone string
	// Addr is the ip:port that the VM serves peers on.
	Addr string
}

// Record is evidence of one VM, as it travels between peers.
type Record struct {
	VM VM
	// Incarnation grows with every start of the VM's daemon.
	Incarnation uint64
	// HeardAge is how long ago the VM was heard of, directly or through others,
	// if below Config.SuspectAfter. From there on the VM is suspected, for the
	// time that HeardAge is longer.
	HeardAge time.Duration
	// Leaving is set once the VM drains.
	Leaving bool
}

// Config sets a Machine. Zero values take the defaults.
type Config struct {
	// Interval is the time between two rounds of exchanges; default 500 ms.
	Interval time.Duration
	// Fanout is the number of partners of a round; default 2.
	Fanout int
	// MaxRecords bounds the records of an exchange; default 32.
	MaxRecords int
	// SuspectAfter divides fresh evidence from suspicion; it must be the same on
	// all VMs; default 2 s.
	SuspectAfter time.Duration
	// DeadAfter is how long a listed VM is suspected before it is gone; default
	// 3 s.
	DeadAfter time.Duration
	// UnlistedFor is how long a VM that was never listed is live after it was
	// last heard; default 2 min, longer than the list lags.
	UnlistedFor time.Duration
	// SettleFor is how long a VM that was gone must be heard; default 2 s.
	SettleFor time.Duration
	// Incarnation is this VM's own.
	Incarnation uint64
	// Seed feeds the choice of partners.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDuration(&c.Interval, 500*time.Millisecond)
	setDuration(&c.SuspectAfter, 2*time.Second)
	setDuration(&c.DeadAfter, 3*time.Second)
	setDuration(&c.UnlistedFor, 2*time.Minute)
	setDuration(&c.SettleFor, 2*time.Second)
	if c.Fanout <= 0 {
		c.Fanout = 2
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = 32
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Event is what a Machine takes.
type Event interface{ event() }

// Tick is due every Config.Interval.
type Tick struct{}

// Listed is the platform's list of VMs. A read that failed is no event: the
// last list stands.
type Listed struct{ VMs []store.VM }

// Exchanged is what a peer said of itself and of others in an exchange, in
// either direction.
type Exchanged struct {
	// From is the peer's own record; it was heard just now.
	From Record
	// Others are the peer's records of other VMs.
	Others []Record
}

// Unanswered says that an exchange with the VM failed.
type Unanswered struct{ ID string }

// Leave says that this VM drains: it stays a member until it ends, but its
// work goes to others.
type Leave struct{}

func (Tick) event()       {}
func (Listed) event()     {}
func (Exchanged) event()  {}
func (Unanswered) event() {}
func (Leave) event()      {}

// Action is what a Machine orders.
type Action interface{ action() }

// Exchange orders an exchange with the VM: send Records, answer with Exchanged
// or Unanswered.
type Exchange struct{ With VM }

// Changed says that Live has changed.
type Changed struct{}

func (Exchange) action() {}
func (Changed) action()  {}

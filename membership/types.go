package membership

import (
	"time"

	"endivemoor.example/endivemoor/store"
)

// VM is a member of the fleet.
type VM struct {
	ID   string
	Zone string
	// Addr is the ip:port at which the VM serves peers.
	Addr string
}

// Record is the evidence of one VM, as peers exchange it.
type Record struct {
	VM VM
	// Incarnation grows with each start of the VM's daemon.
	Incarnation uint64
	// ContactAge is the time since the last contact of any VM with this one, if it is below
	// Config.SuspectAfter. If it is not, the VM is suspected, and has been for the difference.
	ContactAge time.Duration
	// Leaving is set once the VM drains.
	Leaving bool
}

// Config configures a Machine. Zero values take the defaults.
type Config struct {
	// Interval is the time between two rounds of exchanges; default 500 ms.
	Interval time.Duration
	// Fanout is the number of partners of a round; default 2.
	Fanout int
	// MaxRecords bounds the records of an exchange; default 32.
	MaxRecords int
	// SuspectAfter is the age of a contact from which a record is a suspicion; it must be the same
	// on all VMs; default 2 s.
	SuspectAfter time.Duration
	// DeadAfter is how long a listed VM is suspected before it is considered dead; default 3 s.
	DeadAfter time.Duration
	// UnlistedFor is how long a VM that was never listed is live after its last contact; default
	// 2 min, longer than the list lags.
	UnlistedFor time.Duration
	// SettleFor is how long a VM that was considered dead must be free of suspicion before it is
	// live again; default 2 s.
	SettleFor time.Duration
	// Incarnation is this VM's incarnation.
	Incarnation uint64
	// Seed seeds the random choice of partners.
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

// Event is an input of a Machine.
type Event interface{ event() }

// Tick is due every Config.Interval.
type Tick struct{}

// Listed is the platform's list of VMs. A failed read of it is no event: the last list remains in
// force.
type Listed struct{ VMs []store.VM }

// Exchanged is what a peer sent in an exchange, in either direction.
type Exchanged struct {
	// From is the peer's own record; the exchange is a contact with the peer.
	From Record
	// Others are the peer's records of other VMs.
	Others []Record
}

// Unanswered reports that an exchange with the VM failed.
type Unanswered struct{ ID string }

// Leave reports that this VM drains: it stays a member until its process ends, but its work moves to
// others.
type Leave struct{}

func (Tick) event()       {}
func (Listed) event()     {}
func (Exchanged) event()  {}
func (Unanswered) event() {}
func (Leave) event()      {}

// Action is an output of a Machine, for the driver to carry out.
type Action interface{ action() }

// Exchange requests an exchange with the VM: the driver sends Records, and steps Exchanged or
// Unanswered.
type Exchange struct{ With VM }

// Changed reports that Live has changed.
type Changed struct{}

func (Exchange) action() {}
func (Changed) action()  {}

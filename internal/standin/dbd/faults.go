package dbd

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of a connection's bytes that a cut affects.
type Direction uint8

const (
	// Requests holds back received bytes; they arrive after the cut has healed.
	Requests Direction = 1 << iota
	// Answers holds back sent bytes; requests are still executed.
	Answers
	// Both holds back both directions.
	Both = Requests | Answers
)

// Selectors of the connections that a cut affects. Any other selector is a prefix of an
// application_name.
const (
	// AllConnections selects each connection, also before its startup message.
	AllConnections = "*"
	// Peers selects the connections of replicas and this server's own replication.
	Peers = "peers"
	// Callers selects each connection that is not a peer's, from its startup message on.
	Callers = "callers"
)

// unknownApplication is the application name of a connection before its startup message.
const unknownApplication = "(unknown)"

// FaultHits counts the operations that faults held back. A test uses it to make sure that a fault
// took effect.
type FaultHits struct {
	// Requests and Answers count reads from and writes to connections.
	Requests int `json:"requests"`
	Answers  int `json:"answers"`
	// Peers counts operations of this server's own replication.
	Peers int `json:"peers"`
	// Commits counts commits, statements and replicated entries that a freeze held back.
	Commits int `json:"commits"`
}

// Faults holds the active faults of one server. All methods are safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	hits    FaultHits
	frozen  bool
	cuts    map[string]Direction
	slow    float64
	delay   time.Duration
	changed chan struct{}
}

func newFaults(delay time.Duration) *Faults {
	return &Faults{cuts: make(map[string]Direction), slow: 1, delay: delay, changed: make(chan struct{})}
}

// Freeze stops the server as SIGSTOP does: the kernel still accepts connections and receives bytes,
// but the server answers, replicates and commits nothing.
func (f *Faults) Freeze() { f.change(func() { f.frozen = true }) }

// Thaw ends Freeze. Requests received in between are then executed.
func (f *Faults) Thaw() { f.change(func() { f.frozen = false }) }

// Cut holds back the bytes in direction d of the selected connections.
func (f *Faults) Cut(selector string, d Direction) {
	f.change(func() { f.cuts[selector] |= d })
}

// Heal ends all cuts. The bytes held back then arrive, as TCP would deliver them.
func (f *Faults) Heal() {
	f.change(func() { f.cuts = make(map[string]Direction) })
}

// Slow multiplies the time of each statement by factor; 1 is the normal speed.
func (f *Faults) Slow(factor float64) { f.change(func() { f.slow = max(factor, 1) }) }

// SetReplicationDelay sets the time from the commit of an entry until this server applies it.
func (f *Faults) SetReplicationDelay(d time.Duration) { f.change(func() { f.delay = d }) }

// Hits returns how many operations were held back since the start.
func (f *Faults) Hits() FaultHits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hits
}

func (f *Faults) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

func (f *Faults) replicationDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// blocks reports whether bytes in direction d between the server and the application are held back.
// A frozen server holds back all of them.
func (f *Faults) blocks(application string, d Direction) bool {
	if f.frozen {
		return true
	}
	for selector, cut := range f.cuts {
		if cut&d != 0 && selects(selector, application) {
			return true
		}
	}
	return false
}

func selects(selector, application string) bool {
	peer := strings.HasPrefix(application, PeerApplication)
	switch selector {
	case AllConnections:
		return true
	case Peers:
		return peer
	case Callers:
		return !peer && application != unknownApplication
	default:
		return strings.HasPrefix(application, selector)
	}
}

// check reports whether the operation is held back, and returns a channel that is closed when the
// faults change. It counts a hit if first is set, so that each wait counts once.
func (f *Faults) check(application string, d Direction, first bool) (blocked bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	blocked = f.blocks(application, d)
	if blocked && first {
		f.count(d)
	}
	return blocked, f.changed
}

func (f *Faults) count(d Direction) {
	switch d {
	case Requests:
		f.hits.Requests++
	case Answers:
		f.hits.Answers++
	case Both:
		f.hits.Peers++
	default:
		f.hits.Commits++
	}
}

// wait blocks while the operation is held back, or until done is closed.
func (f *Faults) wait(done <-chan struct{}, application string, d Direction) {
	for first := true; ; first = false {
		blocked, changed := f.check(application, d, first)
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

func (f *Faults) waitWhileFrozen() { f.wait(nil, unknownApplication, 0) }

// waitPeers blocks while the server is frozen or cut off from its peers, or until ctx is done.
func (f *Faults) waitPeers(ctx context.Context) {
	f.wait(ctx.Done(), PeerApplication, Both)
}

// faultConn is a connection whose reads and writes the server's faults hold back.
type faultConn struct {
	net.Conn
	faults *Faults
	// application is the application name, unknownApplication before the startup message.
	application atomic.Pointer[string]
	done        chan struct{}
	once        sync.Once
}

func newFaultConn(c net.Conn, f *Faults) *faultConn {
	fc := &faultConn{Conn: c, faults: f, done: make(chan struct{})}
	fc.setApplication(unknownApplication)
	return fc
}

func (c *faultConn) setApplication(name string) { c.application.Store(&name) }

// Read reads bytes and returns them when no fault holds them back.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.faults.wait(c.done, *c.application.Load(), Requests)
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write sends bytes when no fault holds them back.
func (c *faultConn) Write(p []byte) (int, error) {
	c.faults.wait(c.done, *c.application.Load(), Answers)
	return c.Conn.Write(p)
}

// Close closes the connection and ends the waits of its reads and writes.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

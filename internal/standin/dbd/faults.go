package dbd

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Direction says which way of a connection a cut affects.
type Direction uint8

const (
	// Requests holds back what comes in; it arrives after the cut has healed.
	Requests Direction = 1 << iota
	// Answers holds back what goes out; requests are still executed.
	Answers
	// Both holds back either way.
	Both = Requests | Answers
)

// Selectors of whom a cut affects, besides an application_name prefix.
const (
	// Everybody is each connection, also those that have not said who they are.
	Everybody = "*"
	// Peers is each replica's connection and this server's own replication.
	Peers = "peers"
	// Callers is each connection that is not a peer's, once it has said so.
	Callers = "callers"
)

// unknownApplication stands for a connection before its startup message.
const unknownApplication = "(unknown)"

// Struck counts what faults held back, so that a test can tell a fault that was
// survived from one that never hit.
type Struck struct {
	// Requests and Answers count reads and writes of connections.
	Requests int `json:"requests"`
	Answers  int `json:"answers"`
	// Peers counts this server's own replication.
	Peers int `json:"peers"`
	// Commits counts commits and statements that a freeze stopped.
	Commits int `json:"commits"`
}

// Faults holds the faults that are in force on one server. With none the server
// is well. All methods may be called at any time.
type Faults struct {
	mu      sync.Mutex
	struck  Struck
	frozen  bool
	cuts    map[string]Direction
	slow    float64
	delay   time.Duration
	changed chan struct{}
}

func newFaults(delay time.Duration) *Faults {
	return &Faults{cuts: make(map[string]Direction), slow: 1, delay: delay, changed: make(chan struct{})}
}

// Freeze stops the server as SIGSTOP does: the kernel accepts connections and
// takes bytes, and nothing is answered, replicated or committed.
func (f *Faults) Freeze() { f.change(func() { f.frozen = true }) }

// Thaw ends Freeze. Requests that came meanwhile are executed, late.
func (f *Faults) Thaw() { f.change(func() { f.frozen = false }) }

// Cut holds back bytes of one direction between the server and whom it names.
func (f *Faults) Cut(who string, d Direction) {
	f.change(func() { f.cuts[who] |= d })
}

// Heal ends all cuts. Bytes held back then arrive, as TCP delivers them.
func (f *Faults) Heal() {
	f.change(func() { f.cuts = make(map[string]Direction) })
}

// Slow multiplies the time of each statement; 1 is the normal speed.
func (f *Faults) Slow(factor float64) { f.change(func() { f.slow = max(factor, 1) }) }

// SetReplicationDelay sets how long after its commit an entry is applied here.
func (f *Faults) SetReplicationDelay(d time.Duration) { f.change(func() { f.delay = d }) }

// Struck returns what was held back since the start.
func (f *Faults) Struck() Struck {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.struck
}

func (f *Faults) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Faults) slowness() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

func (f *Faults) replicationDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// blocks reports whether bytes in direction d between the server and the
// application are held back now.
func (f *Faults) blocks(application string, d Direction) bool {
	if f.frozen {
		return true
	}
	for who, cut := range f.cuts {
		if cut&d != 0 && selects(who, application) {
			return true
		}
	}
	return false
}

func selects(who, application string) bool {
	peer := strings.HasPrefix(application, PeerApplication)
	switch who {
	case Everybody:
		return true
	case Peers:
		return peer
	case Callers:
		return !peer && application != unknownApplication
	default:
		return strings.HasPrefix(application, who)
	}
}

// check reports whether bytes are held back, counts the first time of one
// wait, and returns what is closed at the next change.
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
		f.struck.Requests++
	case Answers:
		f.struck.Answers++
	case Both:
		f.struck.Peers++
	default:
		f.struck.Commits++
	}
}

// wait returns when bytes may pass, or when done is closed.
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

// pause waits while the server is frozen.
func (f *Faults) pause() { f.wait(nil, unknownApplication, 0) }

// waitPeers waits while the server is frozen or cut off from its peers.
func (f *Faults) waitPeers(ctx context.Context) {
	f.wait(ctx.Done(), PeerApplication, Both)
}

// faultConn is a connection under the server's faults.
type faultConn struct {
	net.Conn
	faults *Faults
	// application is learned from the startup message.
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

// Read returns bytes once they may arrive.
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

// Write sends bytes once they may leave.
func (c *faultConn) Write(p []byte) (int, error) {
	c.faults.wait(c.done, *c.application.Load(), Answers)
	return c.Conn.Write(p)
}

// Close ends the connection and whoever waits on it.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"endivemoor.example/endivemoor/platform/standin/database"
)

const (
	// promotionTime is how long a promotion takes on the site of the case.
	promotionTime = 600 * time.Millisecond
	// replicationDelay is how long a commit takes to reach a replica.
	replicationDelay = 5 * time.Millisecond
	statementTime    = 2 * time.Millisecond
	// firstPrimary sorts after the other two servers: of two equal logs, the daemons promote that of
	// the server that sorts first.
	firstPrimary = "i-3"
)

// replicated is the group of servers of the case, with the network between machines and servers.
type replicated struct {
	*database.Group
	net     *network
	calls   chan call
	entries map[string]*entry
	// open holds the listeners of the servers that run.
	open map[string]net.Listener
	// busy is set while the failover call is refused.
	busy atomic.Bool
}

// call is one failover call.
type call struct{ holder, id string }

// replicatedPlatform returns a platform with servers that replicate, and whose primary can be
// replaced. The first server is the primary.
func replicatedPlatform(ids ...string) platform {
	return func(d *deployment) (storeAddr string, err error) { return d.startReplicated(ids) }
}

func (d *deployment) startReplicated(ids []string) (storeAddr string, err error) {
	s, storeAddr, err := d.startStore()
	if err != nil {
		return "", err
	}
	g := database.NewGroup(database.Options{
		Service: serviceName, Lag: replicationDelay, StatementTime: statementTime,
		PromotionTime: promotionTime, MaxConnections: maxConnections,
	})
	d.group = &replicated{Group: g, net: newNetwork(), calls: make(chan call, 1000), entries: make(map[string]*entry), open: make(map[string]net.Listener)}
	s.failover = g.Failover
	s.busy = d.group.busy.Load
	s.called = func(holder, id string) {
		d.rec.printf("POST /failover of %s by %s, refused: %t", id, holder, d.group.busy.Load())
		d.group.calls <- call{holder, id}
	}
	for n, id := range ids {
		sv := g.Add(id, fmt.Sprint("z", n+1))
		d.group.entries[id] = &entry{store: s, id: id, addr: host(101+n) + ":0", zone: n + 1, role: sv.Role}
		if err := d.group.listen(id); err != nil {
			return "", err
		}
	}
	g.OnRoleChange = func(sv *database.Server) {
		d.rec.printf("%s is now %s", sv.ID, sv.Role())
		d.group.entries[sv.ID].write()
	}
	for _, e := range d.group.entries {
		go d.checkIn(e)
	}
	return storeAddr, nil
}

// listen makes a server accept connections at the address in its entry.
func (g *replicated) listen(id string) error {
	ln, err := net.Listen("tcp", g.entries[id].addr)
	if err != nil {
		return err
	}
	g.entries[id].addr, g.open[id] = ln.Addr().String(), ln
	go g.Server(id).Serve(&listener{ln, id, g.net})
	return nil
}

// crash ends the process of a server.
func (g *replicated) crash(id string) {
	_ = g.open[id].Close()
	g.Crash(id)
}

// restart starts a server again under its id, as a replica. It holds and knows nothing of before: its
// log, its pause and its term are gone.
func (g *replicated) restart(id string) error {
	g.RestartEmpty(id)
	if err := g.listen(id); err != nil {
		return err
	}
	e := g.entries[id]
	e.mu.Lock()
	e.seq, e.born = 0, 0
	e.mu.Unlock()
	e.write()
	return nil
}

// network cuts the path between single machines and servers. A cut is silent; when it ends, the
// connections that were open during the cut are reset.
type network struct {
	mu      sync.Mutex
	cut     map[path]bool
	changed chan struct{}
	conns   map[*conn]bool
}

// path is the path between a server and a machine.
type path struct{ server, machine string }

func newNetwork() *network {
	return &network{cut: make(map[path]bool), changed: make(chan struct{}), conns: make(map[*conn]bool)}
}

func (n *network) set(server, machine string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := path{server, machine}
	if !cut {
		for c := range n.conns {
			if c.path == p {
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				_ = c.Conn.Close()
			}
		}
	}
	n.cut[p] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// await waits until a connection's path is not cut. It returns an error if it was, since the
// connection is then reset.
func (n *network) await(c *conn) error {
	for waited := false; ; waited = true {
		n.mu.Lock()
		cut, changed := n.cut[c.path], n.changed
		n.mu.Unlock()
		switch {
		case !cut && waited:
			return net.ErrClosed
		case !cut:
			return nil
		}
		<-changed
	}
}

// listener accepts the connections to one server.
type listener struct {
	net.Listener
	server string
	net    *network
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, net: l.net, path: path{server: l.server}}
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.net.conns[out] = true
	return out, nil
}

// conn is a connection to a server. The first message tells which machine opened it.
type conn struct {
	net.Conn
	net  *network
	path path
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if f := strings.Fields(string(bytes.TrimSpace(b[:n]))); len(f) > 2 && f[0] == "STARTUP" {
		c.net.mu.Lock()
		c.path.machine = f[2]
		c.net.mu.Unlock()
	}
	if cut := c.net.await(c); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.net.await(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

const (
	// calm is how long the consumers write before the first disruption.
	calm = 2 * time.Second
	// followerTime is how long the first primary needs to follow its successor, and other machines
	// wait after a failover before they begin another one.
	followerTime = 4 * time.Second
	callTimeout  = 15 * time.Second
	// afterCall is how long the case goes on after the second failover call.
	afterCall = 3 * time.Second
)

// secondFailover replaces the primary of a group twice, because two of three machines do not reach
// it. The third machine is stopped at the time of the second failover.
func secondFailover(d *deployment, trouble bool) error {
	g := d.group
	w := startWriters(d)
	defer w.stop()
	time.Sleep(calm)
	if !trouble {
		time.Sleep(followerTime + afterCall)
		return w.check()
	}
	first, second, third := d.machines[0], d.machines[1], d.machines[2]
	d.rec.printf("%s is cut from %s and %s", firstPrimary, first.name, second.name)
	g.net.set(firstPrimary, first.name, true)
	g.net.set(firstPrimary, second.name, true)
	one, err := g.awaitCall()
	if err != nil {
		return err
	}
	if one.holder == second.name {
		first, second = second, first
	}
	time.Sleep(followerTime)
	d.rec.printf("%s reaches %s again; %s does not yet", second.name, firstPrimary, first.name)
	g.net.set(firstPrimary, second.name, false)
	d.rec.printf("%s is cut from %s and %s; SIGTERM to %s", one.id, first.name, second.name, third.name)
	g.net.set(one.id, first.name, true)
	g.net.set(one.id, second.name, true)
	if err := third.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if _, err := g.awaitCall(); err != nil {
		return err
	}
	d.rec.printf("%s reaches %s again", first.name, firstPrimary)
	g.net.set(firstPrimary, first.name, false)
	time.Sleep(afterCall)
	return w.check()
}

func (g *replicated) awaitCall() (call, error) {
	select {
	case c := <-g.calls:
		return c, nil
	case <-time.After(callTimeout):
		return call{}, errors.New("no failover call in time")
	}
}

// lost applies the rule LOST: the server that was promoted last must hold every write that a
// consumer got a success for.
func lost(d *deployment) []string {
	stored := d.group.Stored()
	var out []string
	for _, id := range d.rec.acknowledged() {
		if !stored[id] {
			out = append(out, fmt.Sprintf("LOST: write %s was acknowledged, and the primary %s does not hold it", id, d.group.Leader()))
		}
	}
	return out
}

// writers are consumers that write through every machine.
type writers struct {
	d    *deployment
	done chan struct{}
	wait sync.WaitGroup
}

const (
	writersPerMachine = 4
	writePause        = 40 * time.Millisecond
	minAcknowledged   = 20
)

func startWriters(d *deployment) *writers {
	w := &writers{d: d, done: make(chan struct{})}
	for n, m := range d.machines {
		w.start(n+1, m)
	}
	return w
}

// start starts the consumers at one machine.
func (w *writers) start(number int, m *machine) {
	for i := range writersPerMachine {
		w.wait.Go(func() { w.run(fmt.Sprintf("w%d.%d", number, i), m) })
	}
}

func (w *writers) stop() {
	close(w.done)
	w.wait.Wait()
}

// check reports whether enough was written for the case to count.
func (w *writers) check() error {
	if n := len(w.d.rec.acknowledged()); n < minAcknowledged {
		return fmt.Errorf("only %d writes were acknowledged", n)
	}
	return nil
}

// run writes until the end. It opens its session again when it is closed.
func (w *writers) run(name string, m *machine) {
	for n := 0; !w.ended(); {
		c, err := w.d.connect(name, m)
		if err != nil {
			time.Sleep(10 * writePause)
			continue
		}
		for ; err == nil && !w.ended(); n++ {
			id := fmt.Sprintf("%s.%d", name, n)
			var answer string
			answer, err = c.query(id, "WRITE "+name+" "+fmt.Sprint(n))
			if err == nil && strings.HasPrefix(answer, "DONE ") {
				w.d.rec.recordAcknowledged(id)
			}
			time.Sleep(writePause)
		}
		_ = c.conn.Close()
	}
}

func (w *writers) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// dumpLogs copies the decisions of the daemons about failovers to the record.
func (d *deployment) dumpLogs() {
	for _, m := range d.machines {
		raw, err := os.ReadFile(m.log)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "event=takeover-") || strings.Contains(line, "event=target-pursued") {
				d.rec.printf("log of %s: %s", m.name, line)
			}
		}
	}
}

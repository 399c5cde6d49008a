package main

import (
	_ "embed" // for the template of the settings
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/platform/standin/world"
)

const (
	machines      = 3
	startTimeout  = 20 * time.Second
	readyInterval = 100 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	serviceName   = "ledger"
	databaseName  = "pay"
	// promotionTime is how long a promotion takes on the site of the cases.
	promotionTime = 600 * time.Millisecond
	// replicationDelay is how long a commit takes to reach a replica.
	replicationDelay = 5 * time.Millisecond
	statementTime    = 2 * time.Millisecond
	maxConnections   = 41
	dialTimeout      = 3 * time.Second
)

// machine is one machine of the system with its process.
type machine struct {
	name, front, ready, log string
	process                 *exec.Cmd
}

// deployment is a small deployment on loopback addresses: machines, one group of database servers,
// the store and the failover call.
type deployment struct {
	rec      *record
	machines []*machine
	world    *world.World
	net      *network
	done     chan struct{}
	// refusing is set while the failover call is refused, and calls receives each call.
	refusing atomic.Bool
	calls    chan struct{}

	daemon, dir, duty string
}

// startDeployment starts the stand-ins and the daemons, and waits until all machines are ready. The
// first server is the primary.
func startDeployment(rec *record, daemon, dir string, servers []string) (*deployment, error) {
	d := &deployment{rec: rec, done: make(chan struct{}), calls: make(chan struct{}, 1000), net: newNetwork(), daemon: daemon, dir: dir}
	if err := d.startPlatform(servers); err != nil {
		return nil, err
	}
	for n := 1; n <= machines; n++ {
		if err := d.startMachine(n, true); err != nil {
			d.stop()
			return nil, err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(); err != nil {
			d.stop()
			return nil, err
		}
	}
	rec.printf("%d machines are ready", machines)
	return d, nil
}

func (d *deployment) startPlatform(servers []string) error {
	port, err := freePorts(len(servers) + 1)
	if err != nil {
		return err
	}
	d.world = world.Loopback(port)
	d.world.Advertise = d.net.proxy
	g := d.world.AddGroup(database.Options{
		Service: serviceName, Lag: replicationDelay, StatementTime: statementTime,
		PromotionTime: promotionTime, MaxConnections: maxConnections,
	})
	g.OnStatement = func(machine, id string, _ bool) { d.rec.recordRun(machine, id) }
	announce := g.OnRoleChange
	g.OnRoleChange = func(s *database.Server) {
		d.rec.printf("%s is now %s", s.ID, s.Role())
		announce(s)
	}
	for n, id := range servers {
		d.world.AddServer(serviceName, id, fmt.Sprint("z", n+1))
	}
	d.world.SetRoutes(catalog.Route{
		Database: databaseName, Service: serviceName, Freshness: catalog.Exact,
		StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1,
	})
	go d.checkIn(servers)
	return d.startDuty()
}

// freePorts returns the first of n ports in a row that are free.
func freePorts(n int) (int, error) {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		free := true
		for port := first; port < first+n && free; port++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = ln.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// checkIn writes the servers' entries at each heartbeat.
func (d *deployment) checkIn(servers []string) {
	for {
		select {
		case <-time.After(heartbeat):
		case <-d.done:
			return
		}
		for _, id := range servers {
			if d.group().Server(id).Alive() {
				d.world.WriteEntry(serviceName, id)
			}
		}
	}
}

func (d *deployment) group() *database.Group { return d.world.Group(serviceName) }

// startDuty starts the failover call, which can be refused.
func (d *deployment) startDuty() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.duty = ln.Addr().String()
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.world.StoreAddr()})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refused := d.refusing.Load()
		d.rec.printf("%s %s, refused: %t", r.Method, r.URL.Path, refused)
		d.calls <- struct{}{}
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(ln, handler) }()
	return nil
}

// host returns a loopback address of this run's own, so that the machines' ports do not collide.
func host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, pid%250, n)
}

//go:embed settings.toml
var settingsText string

var settings = template.Must(template.New("settings").Parse(settingsText))

// startMachine starts a daemon with the command of the deploy file.
func (d *deployment) startMachine(n int, bootstrap bool) error {
	ip, zone := host(n), (n-1)%machines+1
	m := &machine{name: fmt.Sprintf("edge-z%d-%d", zone, (n-1)/machines+1), front: ip + ":8784", ready: ip + ":8785"}
	file := filepath.Join(d.dir, m.name+".toml")
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = settings.Execute(f, map[string]any{
		"Node": m.name, "IP": ip, "Zone": fmt.Sprint("z", zone), "Seed": host(1), "Bootstrap": bootstrap,
		"Store": d.world.StoreAddr(), "Duty": d.duty,
	})
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	m.log = filepath.Join(d.dir, m.name+".log")
	log, err := os.Create(m.log)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(d.daemon, "edge", "--metrics-port", "9464")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEMOOR_BOOT=" + file}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	d.machines = append(d.machines, m)
	d.rec.printf("%s starts, pid %d", m.name, m.process.Process.Pid)
	return nil
}

func (m *machine) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		resp, err := http.Get("http://" + m.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(m.name + " is not ready in time")
}

// terminate sends SIGTERM to a machine's process.
func (d *deployment) terminate(m *machine) error {
	d.rec.printf("SIGTERM to %s", m.name)
	return m.process.Process.Signal(syscall.SIGTERM)
}

// cut cuts the path between a server and a machine, or ends the cut.
func (d *deployment) cut(server string, m *machine, cut bool) {
	d.rec.printf("path between %s and %s is cut: %t", server, m.name, cut)
	d.net.set(d.group().Server(server).Addr, m.name, cut)
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	close(d.done)
	for _, m := range d.machines {
		_ = m.process.Process.Kill()
		_ = m.process.Wait()
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

// session is a consumer's session at a machine.
type session struct {
	*consumer.Session
	rec  *record
	conn net.Conn
	name string
	n    int
}

func (d *deployment) connect(name string, m *machine) (*session, error) {
	conn, err := net.DialTimeout("tcp", m.front, dialTimeout)
	if err != nil {
		return nil, err
	}
	c, a := consumer.Open(conn, name, databaseName)
	if c == nil || !a.OK() {
		_ = conn.Close()
		return nil, fmt.Errorf("%s: startup was answered with %+v", name, a)
	}
	d.rec.printf("%s connects to %s", name, m.name)
	return &session{c, d.rec, conn, name, 0}, nil
}

// query sends a statement and returns its id with the answer.
func (s *session) query(text string) (id string, a consumer.Answer) {
	s.n++
	id = fmt.Sprint(s.name, s.n)
	s.rec.recordSent(id, text)
	a = s.Query(text)
	s.rec.printf("answer to id %s: %+v", id, a)
	return id, a
}

// must is query for a statement without which the case makes no sense.
func (s *session) must(text string) error {
	if _, a := s.query(text); !a.OK() {
		return fmt.Errorf("%s: %s was answered with %+v", s.name, text, a)
	}
	return nil
}

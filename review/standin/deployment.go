package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	machines       = 3
	servers        = 3
	startTimeout   = 20 * time.Second
	readyInterval  = 100 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
	databaseName   = "pay"
	statementLimit = 800
	idleLimit      = 3000
	maxConnections = 41
)

// machine is one machine of the system with its process.
type machine struct {
	name, front, ready, log string
	process                 *exec.Cmd
}

// deployment is a small deployment on loopback addresses: three machines and one database group.
type deployment struct {
	rec      *record
	machines []*machine
	group    *replicated // nil unless servers replicate
	done     chan struct{}

	daemon, dir, storeAddr string
}

// platform starts the store, the failover call and the servers of a deployment.
type platform func(d *deployment) (storeAddr string, err error)

// startDeployment starts the stand-ins and the daemons, and waits until all machines are ready.
func startDeployment(rec *record, daemon, dir string, start platform) (*deployment, error) {
	d := &deployment{rec: rec, done: make(chan struct{}), daemon: daemon, dir: dir}
	var err error
	if d.storeAddr, err = start(d); err != nil {
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

// host returns a loopback address of this run's own, so that fixed ports do not collide.
func host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, pid%250, n)
}

// startStore starts the store and the failover call, and writes the configuration.
func (d *deployment) startStore() (s *store, addr string, err error) {
	s = newStore()
	ln, err := net.Listen("tcp", host(100)+":0")
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(ln, s) }()
	s.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-pay", "host": databaseName, "kind": "primary", "svc": serviceName,
			"timeout-ms": statementLimit, "slo-ms": 150, "prio": 1, "max-staleness-ms": 0,
		}},
		"svcs":   []any{map[string]any{"name": serviceName, "max-conns": maxConnections, "sync-replicas": 1}},
		"limits": map[string]any{"tx-idle-ms": idleLimit},
	})
	return s, ln.Addr().String(), nil
}

// plainPlatform starts servers that never fail and whose primary is never replaced.
func plainPlatform(d *deployment) (storeAddr string, err error) {
	s, storeAddr, err := d.startStore()
	if err != nil {
		return "", err
	}
	s.failover = func(id string) bool { return id == "i-0" }
	g := &group{rec: d.rec, items: make(map[string]string)}
	for n := 0; n < servers; n++ {
		sv := &server{group: g, id: "i-" + strconv.Itoa(n), primary: n == 0}
		at, err := net.Listen("tcp", host(101+n)+":0")
		if err != nil {
			return "", err
		}
		go sv.serve(at)
		e := &entry{store: s, id: sv.id, addr: at.Addr().String(), zone: n + 1, role: sv.role}
		go d.checkIn(e)
	}
	return storeAddr, nil
}

// entry is a server's entry in the store.
type entry struct {
	store    *store
	id, addr string
	zone     int
	role     func() string
	mu       sync.Mutex
	seq      int
	born     int64
}

// write writes the entry with the role that the server has now.
func (e *entry) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seq++; e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	e.store.put("servers", e.id, map[string]any{
		"svc": serviceName, "addr": e.addr, "zone": "z" + strconv.Itoa(e.zone), "version": "v1", "slots": 3,
		"state": "ready", "cold-left-ms": 0, "db-role": e.role(), "seq": e.seq, "born": e.born,
	})
}

// checkIn writes a server's entry at each heartbeat.
func (d *deployment) checkIn(e *entry) {
	for {
		e.write()
		select {
		case <-time.After(heartbeat):
		case <-d.done:
			return
		}
	}
}

const settings = `node = "%[6]s"
role = "edge"
machine-class = "edge"
serves = ["edge", "ctl"]
ip = "%[2]s"
zone = "z%[1]d"
region = "r1"
seeds = ["%[3]s:8782"]
bootstrap = %[5]t
discovery = "platform"
heartbeat-ms = 1200
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listen]
front = "%[2]s:8784"
ready = "%[2]s:8785"
ctl = "%[2]s:8782"
[limits]
memory-mb = 284
max-fds = 4200
[bounds]
drain-ms = 7000
grace-s = 6
config-apply-ms = 3000
[platform]
addr = "%[4]s"
form = "objects"
[cloud-api]
addr = "%[4]s"
duties = ["failover"]
`

// startMachine starts a daemon with the command of the deploy file.
func (d *deployment) startMachine(n int, bootstrap bool) error {
	ip, zone := host(n), (n-1)%machines+1
	name := fmt.Sprintf("edge-z%d-%d", zone, (n-1)/machines+1)
	file := filepath.Join(d.dir, fmt.Sprintf("local%d.toml", n))
	if err := os.WriteFile(file, []byte(fmt.Sprintf(settings, zone, ip, host(1), d.storeAddr, bootstrap, name)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("log%d", n)))
	if err != nil {
		return err
	}
	defer log.Close()
	m := &machine{name: name, front: ip + ":8784", ready: ip + ":8785", log: log.Name()}
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

// stop ends all processes that were started.
func (d *deployment) stop() {
	close(d.done)
	for _, m := range d.machines {
		_ = m.process.Process.Kill()
		_ = m.process.Wait()
	}
}

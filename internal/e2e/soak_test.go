package e2e

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/lines"
	"endivemoor.example/endivemoor/platform/standin/traffic"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak test")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds that the soak test runs")
	soakVMs   = flag.Int("soak.vms", 4, "number of daemons")
	soakSteps = flag.Int("soak.steps", 12, "number of faults injected for each seed")
)

// soakRegressions are the seeds that have failed before, each with the cause. CI runs all of them.
var soakRegressions = []uint64{
	8048, // a line logged after the log was closed terminated the process
}

// firstSeedWithAPIKeys is the first seed whose callers have API keys. Lower seeds run without API
// keys, so that what they test does not change.
const firstSeedWithAPIKeys = 9000

// firstSeedWithSlowVMs is the first seed with VMs that get the processor only now and then. Lower
// seeds draw the same faults as before.
const firstSeedWithSlowVMs = 13000

// Port offsets from a soak's first port; the stand-in uses the others.
const (
	soakServers     = 3
	soakProxyOffset = 20
	soakStoreProxy  = 40
	soakPorts       = 200
)

// Daemons serve callers while they are killed, paused, stopped and reloaded, servers crash or stop
// answering, the store is down or loses answers, and connections between them are delayed, reset,
// stalled or cut one way, several at a time. All answers to callers must stay correct throughout,
// and purchases must continue after the faults. From firstSeedUnderLoad on, workspaces also ask for
// more than their limits.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{firstSeedUnderLoad}, soakRegressions...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// soak is the run of one seed.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	port    int
	dir     string
	vms     []*soakVM
	servers []*faultProxy
	crashed map[string]bool
	// withAPIKeys is set for seeds whose callers have API keys and whose store may be restored.
	withAPIKeys bool
	// withSlowVMs is set for seeds with VMs that are slow for a while.
	withSlowVMs bool
	// underLoad is set for seeds with gateways, limits that are exceeded and servers that fail in part.
	underLoad bool
	// active contains a function for each lasting fault that ends it.
	active []func()
}

// soakVM is one daemon and the fault proxy between it and the store.
type soakVM struct {
	*process
	n     int
	store *faultProxy
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 0)), port: freePorts(t, soakPorts), dir: t.TempDir(), crashed: make(map[string]bool)}
	vms, args := *soakVMs, []string{"lines", "--port", fmt.Sprint(s.port), "--dir", s.dir, "--offset", fmt.Sprint(soakProxyOffset)}
	if s.underLoad = seed >= firstSeedUnderLoad; s.underLoad {
		vms = max(vms, vmsUnderLoad)
		args = append(args, "--connections", fmt.Sprint(vmsUnderLoad))
	}
	start(t, s.dir, "standin", "standin", append(args, "--vms", fmt.Sprint(vms))...)
	eventually(t, "the stand-in is ready", func() bool {
		_, err := s.callControl("/primary")
		_, written := os.Stat(s.settings(vms))
		return err == nil && written == nil
	})
	if s.withAPIKeys = seed >= firstSeedWithAPIKeys; s.withAPIKeys {
		s.command("raise", lines.Workspaces[0])
	}
	s.withSlowVMs = seed >= firstSeedWithSlowVMs
	for i := 1; i <= soakServers; i++ {
		s.servers = append(s.servers, newFaultProxy(t, s.local(i+soakProxyOffset), s.local(i)))
	}
	for n := 1; n <= vms; n++ {
		vm := &soakVM{n: n, store: newFaultProxy(t, s.local(soakStoreProxy+n), s.local(0))}
		s.redirect(n)
		s.vms = append(s.vms, vm)
		s.run(vm)
	}
	return s
}

// freePorts returns the first of count consecutive unused ports that freeAddr does not return again.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	for {
		var first int
		_, err := fmt.Sscanf(freeAddr(t), "127.0.0.1:%d", &first)
		require.NoError(t, err)
		free := first+count < lastPort
		for port := first + 1; free && port < first+count; port++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				require.NoError(t, ln.Close())
			}
		}
		if nextPort = first + count; free {
			return first
		}
	}
}

func (s *soak) local(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+offset) }

func (s *soak) settings(n int) string { return filepath.Join(s.dir, fmt.Sprintf("vm%d.toml", n)) }

// redirect changes a daemon's settings so that its calls to the store pass through its fault proxy.
func (s *soak) redirect(n int) {
	text, err := os.ReadFile(s.settings(n))
	require.NoError(s.t, err)
	changed := strings.ReplaceAll(string(text), `"`+s.local(0)+`"`, `"`+s.local(soakStoreProxy+n)+`"`)
	require.NoError(s.t, os.WriteFile(s.settings(n), []byte(changed), 0o600))
}

// run starts or restarts a daemon's process.
func (s *soak) run(vm *soakVM) {
	env := []string{"ENDIVEMOOR_BOOT=" + s.settings(vm.n)}
	vm.process = startWith(s.t, env, s.dir, fmt.Sprintf("vm%d", vm.n), "endivemoor", "edge", "--metrics-port", "0")
}

// callControl sends a query or command to the stand-in's control address.
func (s *soak) callControl(path string) (string, error) {
	url := "http://" + lines.ControlAddr(s.port) + path
	var resp *http.Response
	var err error
	if strings.Contains(path, "?") {
		resp, err = http.Post(url, "", nil)
	} else {
		resp, err = http.Get(url)
	}
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func (s *soak) command(name, id string) {
	_, err := s.callControl("/" + name + "?id=" + id)
	require.NoError(s.t, err)
}

// dial connects to the n-th daemon as a caller.
func (s *soak) dial(n int) (net.Conn, error) { return net.Dial("tcp", lines.ConsumerAddr(s.port, n)) }

// open opens a caller's session on a daemon.
func (s *soak) open(name, vm, database string) (*consumer.Session, consumer.Answer) {
	var n int
	if _, err := fmt.Sscanf(vm, "vm%d", &n); err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	conn, err := s.dial(n)
	if err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	if !s.withAPIKeys {
		return consumer.Open(conn, name, database)
	}
	return s.openAs(conn, name, lines.Key(lines.Workspaces[n%len(lines.Workspaces)]), database)
}

// openAs opens the session of a caller with an API key.
func (s *soak) openAs(conn net.Conn, name, key, database string) (*consumer.Session, consumer.Answer) {
	if _, err := s.callControl("/caller?" + url.Values{"name": {name}, "key": {key}}.Encode()); err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	return consumer.OpenAs(conn, name, key, database)
}

func (s *soak) play() {
	var names []string
	for _, vm := range s.vms[:*soakVMs] {
		names = append(names, fmt.Sprintf("vm%d", vm.n))
	}
	load := traffic.Start(s.open, traffic.Databases{Exact: lines.Pay, Bounded: lines.Check, Own: lines.Renew}, names)
	s.waitPurchases(load, "purchases begin")
	var hard *hardLoad
	if s.underLoad {
		hard = startHardLoad(s)
	}
	for range *soakSteps {
		s.injectRandom()
		time.Sleep(s.randomDuration(50, 900))
		for len(s.active) > 0 && s.random.IntN(2) == 0 {
			s.endRandom()
		}
	}
	for len(s.active) > 0 {
		s.endRandom()
	}
	s.waitPurchases(load, "purchases continue after all faults have ended")
	broken, sales, _ := load.End()
	if hard != nil {
		broken = append(broken, hard.end()...)
	}
	result, err := s.callControl("/verdict")
	require.NoError(s.t, err)
	s.t.Logf("%d sales, %s", sales, result)
	require.Empty(s.t, broken)
	require.Contains(s.t, result, "lost=0 twice=0 misnamed=0 unheld=0 exceeded=0 disorder=0")
}

// waitPurchases waits until further purchases are made.
func (s *soak) waitPurchases(load *traffic.Traffic, what string) {
	before := load.AckedWrites()
	eventually(s.t, what, func() bool { return load.AckedWrites() > before+5 })
}

// randomDuration draws a duration of at least least and less than most milliseconds.
func (s *soak) randomDuration(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least)) * time.Millisecond
}

// addActive registers a lasting fault with the function that ends it.
func (s *soak) addActive(name string, end func()) {
	s.active = append(s.active, func() { s.t.Logf("end of %s", name); end() })
}

// endRandom ends one of the lasting faults.
func (s *soak) endRandom() {
	i := s.random.IntN(len(s.active))
	end := s.active[i]
	s.active = append(s.active[:i], s.active[i+1:]...)
	end()
}

// soakFault is a fault that may be injected; inject receives its name.
type soakFault struct {
	name   string
	inject func(name string)
}

// injectRandom injects one random fault.
func (s *soak) injectRandom() {
	vm := s.vms[s.random.IntN(len(s.vms))]
	i := s.random.IntN(soakServers)
	id := fmt.Sprintf("%s-%d", lines.Service, i)
	proxy := s.servers[i]
	if s.random.IntN(3) == 0 {
		proxy = vm.store
	}
	faults := []soakFault{
		{"kill " + vm.name, func(name string) { s.kill(name, vm) }},
		{"pause " + vm.name, func(name string) { s.pause(name, vm) }},
		{"stop " + vm.name, func(name string) { s.stop(name, vm) }},
		{"reload " + vm.name, func(string) { s.signal(vm, syscall.SIGHUP) }},
		{"crash " + id, func(name string) { s.crash(name, id) }},
		{"deafen " + id, func(name string) {
			s.command("deafen", id)
			s.addActive(name, func() { s.command("undeafen", id) })
		}},
		{"lose answers of " + id, func(string) { s.command("lose-answers", id) }},
		{"store down", func(name string) {
			s.command("store-down", "")
			s.addActive(name, func() { s.command("store-up", "") })
		}},
		{"store loses answers", func(string) { s.command("store-loses", "") }},
		{"store forgets", func(string) { s.command("store-forgets", "") }},
		{"reset", func(string) { proxy.reset() }},
		{"delay", func(name string) {
			proxy.delay.Store(int64(s.randomDuration(20, 300)))
			s.addActive(name, proxy.heal)
		}},
		{"silence", func(name string) {
			proxy.stalled[toServer].Store(true)
			proxy.stalled[toClient].Store(true)
			s.addActive(name, proxy.heal)
		}},
		{"cut one way", func(name string) {
			proxy.stalled[s.random.IntN(2)].Store(true)
			s.addActive(name, proxy.heal)
		}},
	}
	if s.withAPIKeys {
		workspace := lines.Workspaces[s.random.IntN(len(lines.Workspaces))]
		faults = append(faults, []soakFault{
			{"store restored", func(string) { s.command("store-restored", "") }},
			{"revoke " + workspace, func(name string) {
				s.command("revoke", workspace)
				s.addActive(name, func() { s.command("grant", workspace) })
			}},
			{"lower " + workspace, func(name string) {
				s.command("lower", workspace)
				s.addActive(name, func() { s.command("raise", workspace) })
			}},
		}...)
	}
	if s.withSlowVMs {
		faults = append(faults, soakFault{"slow " + vm.name, func(name string) { s.slow(name, vm) }})
	}
	if s.underLoad {
		faults = append(faults, soakFault{"failing " + id, func(name string) {
			s.command("fail-some", id)
			s.addActive(name, func() { s.command("fail-none", id) })
		}})
	}
	drawn := faults[s.random.IntN(len(faults))]
	s.t.Logf("%s", drawn.name)
	drawn.inject(drawn.name)
}

// ended reports whether a daemon's process has exited.
func (vm *soakVM) ended() bool {
	select {
	case <-vm.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to a daemon that is still running.
func (s *soak) signal(vm *soakVM, sig syscall.Signal) {
	if !vm.ended() {
		vm.process.signal(s.t, sig)
	}
}

func (s *soak) kill(name string, vm *soakVM) {
	if vm.ended() {
		return
	}
	vm.process.kill(s.t)
	s.addActive(name, func() { s.restart(vm) })
}

// stop shuts a daemon down gracefully: callers continue to use their connections until the process
// has exited.
func (s *soak) stop(name string, vm *soakVM) {
	if vm.ended() {
		return
	}
	stopped := vm.process
	stopped.signal(s.t, syscall.SIGTERM)
	s.addActive(name, func() {
		// A daemon that was paused in the meantime cannot exit.
		s.signal(vm, syscall.SIGCONT)
		<-stopped.exited
		s.restart(vm)
	})
}

// restart starts a daemon that has exited, unless it was restarted already.
func (s *soak) restart(vm *soakVM) {
	if vm.ended() {
		s.run(vm)
	}
}

// crash ends a server's process, unless it has crashed already.
func (s *soak) crash(name, id string) {
	if s.crashed[id] {
		return
	}
	s.crashed[id] = true
	s.command("crash", id)
	s.addActive(name, func() {
		s.crashed[id] = false
		s.command("restart", id)
	})
}

func (s *soak) pause(name string, vm *soakVM) {
	s.signal(vm, syscall.SIGSTOP)
	s.addActive(name, func() { s.signal(vm, syscall.SIGCONT) })
}

// Durations of a slow VM's turns without and with the processor.
const (
	slowPaused  = 90 * time.Millisecond
	slowRunning = 20 * time.Millisecond
)

// slow pauses a daemon most of the time until the fault ends.
func (s *soak) slow(name string, vm *soakVM) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	slowed := vm.process
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-slowed.exited:
				return
			case <-time.After(slowRunning):
			}
			_ = slowed.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(slowPaused)
			_ = slowed.cmd.Process.Signal(syscall.SIGCONT)
		}
	}()
	s.addActive(name, func() {
		close(stop)
		<-stopped
	})
}

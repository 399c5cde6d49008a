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
	soakFirst = flag.Uint64("soak.first", 1, "the first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "how many seeds the soak plays")
	soakVMs   = flag.Int("soak.vms", 4, "how many daemons the soak runs")
	soakSteps = flag.Int("soak.steps", 12, "how many troubles strike for each seed")
)

// soakRegressions are the seeds that have ever failed, each with the cause. All
// are played by CI.
var soakRegressions = []uint64{
	8048, // a line that was logged after the log was closed ended the process
}

// firstKeyed is the first seed whose callers have API keys. Those before play as they
// always did.
const firstKeyed = 9000

// Offsets of ports from a soak's first one, beside those of the stand-in.
const (
	soakServers     = 3
	soakProxyOffset = 20
	soakStoreProxy  = 40
	soakPorts       = 200
)

// Daemons serve callers while they are killed, paused, stopped and told to
// reload, servers crash and fall deaf, the store is down or loses answers, and
// connections between them are delayed, reset, silenced or cut one way, several
// at a time. Whatever callers were told must hold all the while, and sales must go
// on after.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{}, soakRegressions...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// soak is one seed's play.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	port    int
	dir     string
	vms     []*soakVM
	servers []*faultProxy
	crashed map[string]bool
	// keyed is set for seeds whose callers have API keys, and whose store may be restored.
	keyed bool
	// ends are what lasts, and must end.
	ends []func()
}

// soakVM is one daemon and its way to the store.
type soakVM struct {
	*process
	n     int
	store *faultProxy
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 0)), port: freePorts(t, soakPorts), dir: t.TempDir(), crashed: make(map[string]bool)}
	start(t, s.dir, "standin", "standin", "lines", "--port", fmt.Sprint(s.port), "--dir", s.dir,
		"--vms", fmt.Sprint(*soakVMs), "--offset", fmt.Sprint(soakProxyOffset))
	eventually(t, "the stand-in", func() bool {
		_, err := s.ask("/primary")
		_, written := os.Stat(s.settings(*soakVMs))
		return err == nil && written == nil
	})
	if s.keyed = seed >= firstKeyed; s.keyed {
		s.order("raise", lines.Workspaces[0])
	}
	for i := 1; i <= soakServers; i++ {
		s.servers = append(s.servers, newFaultProxy(t, s.local(i+soakProxyOffset), s.local(i)))
	}
	for n := 1; n <= *soakVMs; n++ {
		vm := &soakVM{n: n, store: newFaultProxy(t, s.local(soakStoreProxy+n), s.local(0))}
		s.redirect(n)
		s.vms = append(s.vms, vm)
		s.run(vm)
	}
	return s
}

// freePorts returns the first of some ports in a row of which none is in use.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	for {
		var first int
		_, err := fmt.Sscanf(freeAddr(t), "127.0.0.1:%d", &first)
		require.NoError(t, err)
		nextPort = first + count
		if nextPort < lastPort {
			return first
		}
	}
}

func (s *soak) local(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+offset) }

func (s *soak) settings(n int) string { return filepath.Join(s.dir, fmt.Sprintf("vm%d.toml", n)) }

// redirect leads a daemon's calls to the store through its proxy.
func (s *soak) redirect(n int) {
	text, err := os.ReadFile(s.settings(n))
	require.NoError(s.t, err)
	changed := strings.ReplaceAll(string(text), `"`+s.local(0)+`"`, `"`+s.local(soakStoreProxy+n)+`"`)
	require.NoError(s.t, os.WriteFile(s.settings(n), []byte(changed), 0o600))
}

// run starts a daemon's process, at first or anew.
func (s *soak) run(vm *soakVM) {
	env := []string{"ENDIVEMOOR_BOOT=" + s.settings(vm.n)}
	vm.process = startWith(s.t, env, s.dir, fmt.Sprintf("vm%d", vm.n), "endivemoor", "edge", "--metrics-port", "0")
}

// ask sends the stand-in a question or an order.
func (s *soak) ask(path string) (string, error) {
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

func (s *soak) order(name, id string) {
	_, err := s.ask("/" + name + "?id=" + id)
	require.NoError(s.t, err)
}

// open opens a caller's session at a daemon.
func (s *soak) open(name, vm, database string) (*consumer.Session, consumer.Answer) {
	var n int
	if _, err := fmt.Sscanf(vm, "vm%d", &n); err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	conn, err := net.Dial("tcp", lines.ConsumerAddr(s.port, n))
	if err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	if !s.keyed {
		return consumer.Open(conn, name, database)
	}
	key := lines.Key(lines.Workspaces[n%len(lines.Workspaces)])
	if _, err := s.ask("/caller?" + url.Values{"name": {name}, "key": {key}}.Encode()); err != nil {
		return nil, consumer.Answer{Lost: true}
	}
	return consumer.OpenAs(conn, name, key, database)
}

func (s *soak) play() {
	var names []string
	for _, vm := range s.vms {
		names = append(names, fmt.Sprintf("vm%d", vm.n))
	}
	load := traffic.Start(s.open, traffic.Databases{Exact: lines.Pay, Bounded: lines.Check, Own: lines.Renew}, names)
	s.goesOn(load, "sales begin")
	for range *soakSteps {
		s.strike()
		time.Sleep(s.between(50, 900))
		for len(s.ends) > 0 && s.random.IntN(2) == 0 {
			s.endOne()
		}
	}
	for len(s.ends) > 0 {
		s.endOne()
	}
	s.goesOn(load, "sales go on once all has ended")
	broken, sales, _ := load.End()
	verdict, err := s.ask("/verdict")
	require.NoError(s.t, err)
	s.t.Logf("%d sales, %s", sales, verdict)
	require.Empty(s.t, broken)
	require.Contains(s.t, verdict, "lost=0 twice=0 misnamed=0 unheld=0 exceeded=0 disorder=0")
}

// goesOn waits until further sales are made.
func (s *soak) goesOn(load *traffic.Traffic, what string) {
	before := load.AckedWrites()
	eventually(s.t, what, func() bool { return load.AckedWrites() > before+5 })
}

// between draws a time in milliseconds.
func (s *soak) between(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least)) * time.Millisecond
}

func (s *soak) later(name string, end func()) {
	s.ends = append(s.ends, func() { s.t.Logf("end of %s", name); end() })
}

// endOne ends one of the troubles that last.
func (s *soak) endOne() {
	i := s.random.IntN(len(s.ends))
	end := s.ends[i]
	s.ends = append(s.ends[:i], s.ends[i+1:]...)
	end()
}

// trouble is one that may strike; do is told its name.
type trouble struct {
	name string
	do   func(name string)
}

// strike draws one trouble.
func (s *soak) strike() {
	vm := s.vms[s.random.IntN(len(s.vms))]
	i := s.random.IntN(soakServers)
	id := fmt.Sprintf("%s-%d", lines.Service, i)
	proxy := s.servers[i]
	if s.random.IntN(3) == 0 {
		proxy = vm.store
	}
	all := []trouble{
		{"kill " + vm.name, func(name string) { s.kill(name, vm) }},
		{"pause " + vm.name, func(name string) { s.pause(name, vm) }},
		{"stop " + vm.name, func(name string) { s.stop(name, vm) }},
		{"reload " + vm.name, func(string) { s.signal(vm, syscall.SIGHUP) }},
		{"crash " + id, func(name string) { s.crash(name, id) }},
		{"deafen " + id, func(name string) {
			s.order("deafen", id)
			s.later(name, func() { s.order("undeafen", id) })
		}},
		{"lose answers of " + id, func(string) { s.order("lose-answers", id) }},
		{"store down", func(name string) {
			s.order("store-down", "")
			s.later(name, func() { s.order("store-up", "") })
		}},
		{"store loses answers", func(string) { s.order("store-loses", "") }},
		{"store forgets", func(string) { s.order("store-forgets", "") }},
		{"reset", func(string) { proxy.reset() }},
		{"delay", func(name string) {
			proxy.delay.Store(int64(s.between(20, 300)))
			s.later(name, proxy.heal)
		}},
		{"silence", func(name string) {
			proxy.silent[toServer].Store(true)
			proxy.silent[toClient].Store(true)
			s.later(name, proxy.heal)
		}},
		{"cut one way", func(name string) {
			proxy.silent[s.random.IntN(2)].Store(true)
			s.later(name, proxy.heal)
		}},
	}
	if s.keyed {
		workspace := lines.Workspaces[s.random.IntN(len(lines.Workspaces))]
		all = append(all, []trouble{
			{"store restored", func(string) { s.order("store-restored", "") }},
			{"revoke " + workspace, func(name string) {
				s.order("revoke", workspace)
				s.later(name, func() { s.order("grant", workspace) })
			}},
			{"lower " + workspace, func(name string) {
				s.order("lower", workspace)
				s.later(name, func() { s.order("raise", workspace) })
			}},
		}...)
	}
	drawn := all[s.random.IntN(len(all))]
	s.t.Logf("%s", drawn.name)
	drawn.do(drawn.name)
}

// gone reports whether a daemon's process has ended.
func (vm *soakVM) ended() bool {
	select {
	case <-vm.gone:
		return true
	default:
		return false
	}
}

// signal sends a signal to a daemon that still runs.
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
	s.later(name, func() { s.again(vm) })
}

// stop is a planned end: callers go on using their connections until the
// process is gone.
func (s *soak) stop(name string, vm *soakVM) {
	if vm.ended() {
		return
	}
	stopped := vm.process
	stopped.signal(s.t, syscall.SIGTERM)
	s.later(name, func() {
		// One that was paused meanwhile cannot end.
		s.signal(vm, syscall.SIGCONT)
		<-stopped.gone
		s.again(vm)
	})
}

// again starts a daemon that has ended, unless that was done before.
func (s *soak) again(vm *soakVM) {
	if vm.ended() {
		s.run(vm)
	}
}

// crash ends a server's process, unless it has none.
func (s *soak) crash(name, id string) {
	if s.crashed[id] {
		return
	}
	s.crashed[id] = true
	s.order("crash", id)
	s.later(name, func() {
		s.crashed[id] = false
		s.order("restart", id)
	})
}

func (s *soak) pause(name string, vm *soakVM) {
	s.signal(vm, syscall.SIGSTOP)
	s.later(name, func() { s.signal(vm, syscall.SIGCONT) })
}

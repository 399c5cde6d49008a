package edge_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/edge"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/logging"
	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/platform/standin/traffic"
	"endivemoor.example/endivemoor/platform/standin/world"
)

// Databases of the routes that every scenario has.
const (
	exact   = "pay"
	bounded = "check"
	own     = "renew"
)

const service = "ledger"

// fleet is a simulated world with one service and some VMs, in virtual time.
type fleet struct {
	t     *testing.T
	world *world.World
	group *database.Group
	// mu guards vms, whose processes start and stop during traffic, and sessions.
	mu  sync.Mutex
	vms map[string]*vm
	// sessions counts the opened sessions: request ids begin with their name.
	sessions int
	// firstStart is set while the whole fleet starts for the first time.
	firstStart bool
	// applyWithin is the deployment's bound for a configuration to be in force; 0 uses that of
	// world.Settings.
	applyWithin time.Duration
	// features are those of VMs that start.
	features feature.Set
	// seeds are the peers that the settings of a VM name.
	seeds []string
	// ended holds earlier processes of restarted VMs.
	ended []*vm
	// clocks are those of the VMs' latest processes.
	clocks map[string]*vmClock
}

type vm struct {
	name string
	addr string
	stop context.CancelFunc
	done chan struct{}
	zone string
	// number determines the VM's addresses.
	number int
	// killed is set for VMs whose Serve may return an error.
	killed atomic.Bool
}

var zones = []string{"a", "b", "c"}

// runFleet runs a scenario with n VMs in a bubble of virtual time.
func runFleet(t *testing.T, n int, scenario func(f *fleet)) {
	runFleetWith(t, n, database.Options{}, scenario)
}

// fleetSizes returns the sizes of a small and a large fleet; only the small one under the race
// detector, to limit the run time.
func fleetSizes(small, large int) []int {
	if raceDivisor > 1 {
		return []int{small}
	}
	return []int{small, large}
}

// runFleetWith runs a scenario against targets with the given options.
func runFleetWith(t *testing.T, n int, opt database.Options, scenario func(f *fleet)) {
	runFleetOf(t, n, opt, feature.Set{}, scenario)
}

// runFleetOf runs a scenario with VMs that run the given parts.
func runFleetOf(t *testing.T, n int, opt database.Options, features feature.Set, scenario func(f *fleet)) {
	opt.Service, opt.Lag = service, 60*time.Millisecond
	if opt.StatementTime == 0 {
		opt.StatementTime = 5 * time.Millisecond
	}
	bubble.Test(t, func(t *testing.T) {
		f := &fleet{t: t, world: world.New(), vms: make(map[string]*vm), features: features, clocks: make(map[string]*vmClock)}
		f.group = f.world.AddGroup(opt, zones...)
		f.world.SetRoutes(standardRoutes()...)
		for i := range n {
			f.start(fmt.Sprintf("vm%d", i), zones[i%len(zones)], i+1)
		}
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		scenario(f)
	})
}

func standardRoutes() []catalog.Route {
	return []catalog.Route{
		{Database: exact, Service: service, Freshness: catalog.Exact, StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1},
		{Database: bounded, Service: service, Freshness: catalog.Bounded, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second, Objective: 500 * time.Millisecond, Priority: 2},
		{Database: own, Service: service, Freshness: catalog.Own, MaxAge: 2500 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, Objective: 250 * time.Millisecond, Priority: 2},
	}
}

func (f *fleet) start(name, zone string, number int) {
	set := world.Settings(name, zone, number)
	set.FirstStart, set.Seeds = f.firstStart, f.seeds
	if f.applyWithin > 0 {
		set.Bounds.ApplyMS = f.applyWithin.Milliseconds()
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{name: name, addr: set.Listen.Consumers, stop: cancel, done: make(chan struct{}), zone: zone, number: number}
	clk := &vmClock{Clock: monotonic.New()}
	e := edge.New(set, f.world.Net.Host(name), clk, f.log(name), f.features)
	go func() {
		defer close(v.done)
		if err := e.Serve(ctx); err != nil && ctx.Err() == nil && !v.killed.Load() {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.vms[name]; old != nil {
		f.ended = append(f.ended, old)
	}
	f.vms[name], f.clocks[name] = v, clk
}

// traffic starts consumers at all VMs.
func (f *fleet) traffic() *traffic.Traffic {
	open := func(name, vm, db string) (*consumer.Session, consumer.Answer) {
		return f.world.Open(name, f.addr(vm), db)
	}
	names := slices.Sorted(maps.Keys(f.vms))
	return traffic.Start(open, traffic.Databases{Exact: exact, Bounded: bounded, Own: own}, names)
}

// addr returns the address at which a VM accepts consumers.
func (f *fleet) addr(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[vm].addr
}

// restartVM starts a new process of a killed VM.
func (f *fleet) restartVM(name string) {
	f.mu.Lock()
	old := f.vms[name]
	f.mu.Unlock()
	old.stop()
	<-old.done
	f.start(name, old.zone, old.number)
}

// log returns a logger that discards everything unless tests are verbose.
func (f *fleet) log(name string) *zap.Logger {
	if !testing.Verbose() {
		return zap.NewNop()
	}
	return logging.New(os.Stdout, zap.NewAtomicLevelAt(zap.DebugLevel)).With(zap.String("vm", name))
}

// stopAll stops everything; a bubble must not leave goroutines behind.
func (f *fleet) stopAll() {
	f.world.Net.HealAll()
	all := append([]*vm{}, f.ended...)
	for _, v := range f.vms {
		all = append(all, v)
	}
	for _, v := range all {
		v.stop()
	}
	for _, v := range all {
		<-v.done
	}
	time.Sleep(time.Minute)
	for _, v := range f.vms {
		f.world.Net.Reset(v.name)
	}
	for _, id := range f.group.Servers() {
		f.world.Crash(service, id)
	}
	f.world.Close()
	time.Sleep(time.Minute)
}

// kill ends a VM abruptly: its connections break, and it cleans nothing up. Its goroutines
// continue, without network, until the scenario ends.
func (f *fleet) kill(name string) {
	f.vms[name].killed.Store(true)
	f.world.Net.Kill(name)
}

// isolate cuts a VM off from the store and from all other VMs.
func (f *fleet) isolate(name string) {
	f.world.CutFromStore(name, true)
	for other := range f.vms {
		if other != name {
			f.world.Net.Cut(name, other)
		}
	}
}

// session opens a session at a VM.
func (f *fleet) session(vm, db string) *consumer.Session {
	f.t.Helper()
	c, a := f.world.Open(f.nextConsumer(), f.addr(vm), db)
	require.Equal(f.t, "I", a.State, "startup: %+v", a)
	return c
}

// nextConsumer returns a new consumer name. Scenarios open sessions on several goroutines.
func (f *fleet) nextConsumer() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions++
	return fmt.Sprintf("consumer%d-", f.sessions)
}

// checkInvariants checks what must hold at the end of every scenario.
func (f *fleet) checkInvariants() {
	f.t.Helper()
	v := f.group.Check()
	require.Empty(f.t, v.Lost, "acknowledged commits were lost")
	require.Empty(f.t, v.Duplicates, "writes took effect twice")
	require.Empty(f.t, f.world.Store.OrderViolations(), "calls of holders reached the platform out of order")
}

package edge

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/boottime"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/engine"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/logging"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/platform/boot"
	"endivemoor.example/endivemoor/platform/duty"
	"endivemoor.example/endivemoor/platform/line"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/promoter"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/relay"
	"endivemoor.example/endivemoor/spending"
)

const (
	// memoryPart is the part of the process's memory limit at which the
	// collector works harder: the rest is for the runtime's own needs and for
	// bytes that the kernel holds.
	memoryPart = 0.6
	// greetTimeout bounds opening a connection to a target: the way, a slot
	// behind a full queue, and the work of accepting it, 12 ms.
	greetTimeout = 700 * time.Millisecond
)

// Network is how a daemon reaches others and is reached.
type Network interface {
	// Listen takes connections at ip:port.
	Listen(addr string) (net.Listener, error)
	// DialContext connects to ip:port.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Edge is one running daemon.
type Edge struct {
	set         *boot.Settings
	log         *zap.Logger
	metrics     *prometheus.Registry
	spent       *spending.Meter
	clk         clock.Clock
	net         Network
	incarnation string
	started     clock.Time
	// haste is where in lookAfterSpread this VM is, from 0 to 1.
	haste     float64
	catalog   *catalog.Holder
	recency   recency.Board
	eras      *eras
	store     *objects.Client
	outage    outage
	duty      *duty.Client
	pool      *lane.Pool
	local     *dispatch.Local
	router    *relay.Router
	relay     *relay.Server
	limits    *limits
	groups    *groups.Registry
	placing   *placing.Tracker
	counts    *engine.Metrics
	engine    *engine.Engine
	fleet     *fleet
	gossip    *gossiper
	promoter  *promoter.Promoter
	sessions  *sessions
	listeners []net.Listener
	ends      ends
}

// Options are what the command line sets.
type Options struct {
	// MetricsPort on this VM's address serves /metrics; 0 serves none.
	MetricsPort int
	// LogLevel is the least level that is logged.
	LogLevel string
}

// Run serves until SIGTERM, then ends gracefully.
func Run(ctx context.Context, opt Options) error {
	set, err := boot.Load()
	if err != nil {
		return err
	}
	least, err := zapcore.ParseLevel(opt.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	out := logging.NewBounded(os.Stdout)
	defer out.Close()
	log := logging.New(out, zap.NewAtomicLevelAt(least)).With(zap.String("vm", set.Node), zap.String("zone", set.Zone))
	if set.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMB<<20) * memoryPart))
	}
	e := New(set, kernel{newDialer()}, boottime.Clock{}, log)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go e.reloadOn(ctx, hangup)
	if opt.MetricsPort > 0 {
		go e.serveMetrics(net.JoinHostPort(set.IP, strconv.Itoa(opt.MetricsPort)))
	}
	return e.Serve(ctx)
}

// New returns a daemon that is not yet serving.
func New(set *boot.Settings, network Network, clk clock.Clock, log *zap.Logger) *Edge {
	e := &Edge{
		set:         set,
		log:         log,
		clk:         clk,
		net:         network,
		metrics:     prometheus.NewRegistry(),
		incarnation: newIncarnation(set.Node),
		catalog:     catalog.NewHolder(),
		outage:      outage{clk: clk},
		duty:        duty.New(set.Duty.Addr, newTransport(network.DialContext)),
		placing:     placing.NewTracker(),
		started:     clk.Now(),
		haste:       mathrand.Float64(),
	}
	e.spent = spending.NewMeter(e.metrics)
	e.eras = newEras(log, clk, e.metrics)
	e.store = objects.New(set.Platform.Addr, newTransport(e.dialFor(spending.Store)))
	e.store.Observe = func(kind string, v objects.Verb) { e.spent.Called(kind, string(v)) }
	e.store.ObserveEra = e.eras.note
	e.pool = lane.NewPool(e.clk, e.dialer)
	e.gossip = newGossiper(e)
	e.groups = groups.NewRegistry(groups.Config{
		Catalog: e.catalog, Control: asker{e}, Clock: e.clk, Decode: line.ParseStatus, Records: reigns{e},
		Eligible: e.gossip.eligible, OnCommand: e.spent.Asked, DrainTimeout: leaveAfter(set), Log: log,
		Era: e.eras.current,
	})
	e.limits = newLimits(e)
	e.local = &dispatch.Local{Pool: e.pool, Groups: e.groups, Clock: e.clk}
	statuses := relay.NewStatuses(e.pool, e.clk)
	e.router = relay.NewRouter(relay.RouterConfig{Local: e.local, Control: e.pool, Statuses: statuses, Groups: e.groups, Clock: e.clk, Log: log, Dial: e.dialFor(spending.Relay)})
	e.relay = relay.NewServer(relay.ServerConfig{Local: e.local, Control: e.pool, Statuses: statuses, Groups: e.groups, Clock: e.clk, Log: log, Serves: e.relays, Idle: e.relayIdle, Draw: e.limits.Draw})
	e.counts = engine.NewMetrics(e.metrics)
	e.engine = engine.New(engine.Config{
		Catalog: e.catalog, Groups: e.groups, Runner: e.router, Placing: e.placing, Clock: e.clk,
		Log: log, Metrics: e.counts, Zone: set.Zone, Limiter: e.limits,
	})
	e.fleet = &fleet{edge: e}
	e.registerMetrics()
	e.sessions = newSessions(e)
	e.promoter = promoter.New(promoter.Config{
		Node: set.Node, Catalog: e.catalog, Groups: e.groups, Records: reigns{e},
		Platform: designator{e.duty}, Fleet: e.gossip, Clock: e.clk, Log: log, Nonce: rand.Text,
		Era: e.eras.current, RestoredAt: e.eras.restoredAt,
	})
	return e
}

// leavePart is the part of the deployment's bound for which a leaving target may
// still be given work: the rest is for a word that came late, and for the way.
const leavePart = 0.8

func leaveAfter(set *boot.Settings) time.Duration {
	return time.Duration(float64(set.Bounds.DrainMS)*leavePart) * time.Millisecond
}

// dialer opens links to a target.
func (e *Edge) dialer(t *catalog.Target) lane.Dialer {
	targets := e.dialFor(spending.Target)
	return func(ctx context.Context, workspace string) (lane.Link, error) {
		who := workspace
		if who == "" {
			who = e.set.Node
		}
		timeout := greetTimeout
		if by, ok := ctx.Deadline(); ok {
			timeout = min(timeout, time.Until(by))
		}
		link, err := line.Dial(ctx, targets, t.Addr, t.Service, who, t.ID, timeout)
		if err != nil {
			return nil, err
		}
		return link, nil
	}
}

// Serve serves until ctx ends, and then ends gracefully.
func (e *Edge) Serve(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	if err := e.listen(failed); err != nil {
		return err
	}
	e.startWatches(work)
	go e.follow(work)
	go func() {
		e.fleet.join(work)
		e.fleet.keep(work)
	}()
	go e.maintain(work)
	go e.promoter.Run(work)
	go e.gossip.run(work)
	e.log.Info("serving", zap.String("consumers", e.set.Listen.Consumers), zap.String("incarnation", e.incarnation))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		e.end(work)
		return nil
	}
}

// reloadOn reads the settings anew at each signal.
func (e *Edge) reloadOn(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-hangup:
			e.reload()
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings anew after SIGHUP. Only the memory limit is taken over:
// it is this process's own.
//
// Failure guarded against: settings change on some VMs before others, and a request's
// fate depends on which of them it meets. Whatever else has changed takes effect when a
// process starts; until then the log says on which VM it is not in force.
func (e *Edge) reload() {
	next, err := boot.Load()
	if err != nil {
		e.log.Warn("settings-refused", zap.Error(err))
		return
	}
	if next.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(next.Limits.MemoryMB<<20) * memoryPart))
	}
	e.log.Info("settings-reloaded", zap.Int64("memory-mb", next.Limits.MemoryMB),
		zap.Strings("at-next-start", boot.Differences(e.set, next)))
}

func (e *Edge) listen(failed chan<- error) error {
	ready, err := e.net.Listen(e.set.Listen.Ready)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	consumers, err := e.net.Listen(e.set.Listen.Consumers)
	if err != nil {
		return errors.Wrap(err, "listen for consumers")
	}
	peers, err := e.net.Listen(e.set.Listen.Control)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	e.listeners = []net.Listener{ready, consumers, peers}
	go func() { failed <- e.gossip.serve(peers) }()
	go func() { failed <- http.Serve(ready, e.readyHandler()) }()
	go func() { failed <- e.sessions.accept(consumers) }()
	return nil
}

// follow passes each new catalog to those who act on it.
func (e *Edge) follow(ctx context.Context) {
	tick := time.NewTicker(liveEvery)
	defer tick.Stop()
	plan := gateways.NewPlan(e.set.Node, e.catalog.Load())
	for {
		changed := e.catalog.Changed()
		c := e.catalog.Load()
		live := e.gossip.live(c)
		plan = plan.Next(c, live)
		e.pool.Update(c, plan.Share)
		e.router.Update(plan, c)
		e.limits.update(c)
		e.groups.Update(c)
		e.gossip.keep(c)
		e.placing.Retain(c.Incarnation)
		if !e.awaitNews(ctx, changed, tick.C, live) {
			return
		}
	}
}

// liveEvery is how often it is looked whether as many VMs answer as before: peers are
// asked in turn, each about once a second.
const liveEvery = time.Second

// awaitNews waits until the catalog has changed, another number of VMs answers, or the
// owners of limits are due to change. It is false once ctx has ended.
func (e *Edge) awaitNews(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time, live int) bool {
	for {
		select {
		case <-changed:
			return true
		case <-tick:
			if c := e.catalog.Load(); e.gossip.live(c) != live || e.limits.behind(c) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// maintain does what is due from time to time.
func (e *Edge) maintain(ctx context.Context) {
	tick := time.NewTicker(lane.MaintainInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	waited := time.NewTicker(waitedEvery)
	defer waited.Stop()
	for {
		select {
		case <-tick.C:
			e.pool.Maintain()
			e.relay.Sweep()
		case <-summary.C:
			e.summarize()
		case <-waited.C:
			e.reportWaited()
		case <-ctx.Done():
			return
		}
	}
}

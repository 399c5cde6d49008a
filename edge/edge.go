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
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/engine"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/gossip"
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
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/target"
)

const (
	// memoryFraction is the fraction of the process's memory limit that is set as the garbage
	// collector's soft limit. The remainder covers the runtime's own needs and bytes that the
	// kernel holds.
	memoryFraction = 0.6
	// targetDialTimeout bounds opening a connection to a target: the network latency, a slot behind
	// a full queue, and 12 ms of work to accept the connection.
	targetDialTimeout = 700 * time.Millisecond
)

// Network opens and accepts the daemon's connections.
type Network interface {
	// Listen accepts connections at ip:port.
	Listen(addr string) (net.Listener, error)
	// DialContext connects to ip:port.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Edge is one running daemon.
type Edge struct {
	settings    *boot.Settings
	log         *zap.Logger
	metrics     *prometheus.Registry
	meter       *spending.Meter
	clk         clock.Clock
	net         Network
	features    feature.Set
	incarnation string
	started     clock.Time
	// watchJitter is this VM's position within selfWatchJitter, from 0 to 1.
	watchJitter   float64
	catalog       *catalog.Holder
	recency       recency.Tracker
	breaks        *targetBreaks // of this VM's own connections
	gatewayBreaks *targetBreaks // of gateways' connections, as they tell
	eras          *eras
	store         *objects.Client
	firstCopies   *firstCopies
	outage        outage
	duty          *duty.Client
	pool          *lane.Pool
	returning     returning.Books
	local         *dispatch.Local
	router        *relay.Router
	relay         *relay.Server
	limits        *limits
	groups        *groups.Registry
	placing       *placing.Tracker
	loadReports   *loadReports
	outliers      *outliers
	engineMetrics *engine.Metrics
	decisions     *decisions.Recorder
	engine        *engine.Engine
	fleetEntry    *fleetEntry
	condition     *ownCondition
	gossip        *gossiper
	promoter      *promoter.Promoter
	sessions      *sessions
	listeners     []net.Listener
	servers       []*http.Server
	shutdown      shutdownState
}

// Options are the options from the command line.
type Options struct {
	// MetricsPort is the port on this VM's address that serves /metrics; 0 disables it.
	MetricsPort int
	// LogLevel is the lowest level that is logged.
	LogLevel string
	// Features tells which parts run.
	Features feature.Set
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully.
func Run(ctx context.Context, opt Options) error {
	settings, err := boot.Load()
	if err != nil {
		return err
	}
	minLevel, err := zapcore.ParseLevel(opt.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	out := logging.NewBoundedWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, zap.NewAtomicLevelAt(minLevel)).With(zap.String("vm", settings.Node), zap.String("zone", settings.Zone))
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB<<20) * memoryFraction))
	}
	e := New(settings, hostNetwork{newDialer()}, boottime.Clock{}, log, opt.Features)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go e.reloadOn(ctx, hangup)
	if opt.MetricsPort > 0 {
		go e.serveMetrics(net.JoinHostPort(settings.IP, strconv.Itoa(opt.MetricsPort)))
	}
	return e.Serve(ctx)
}

// New returns a daemon that is not yet serving.
func New(settings *boot.Settings, network Network, clk clock.Clock, log *zap.Logger, features feature.Set) *Edge {
	e := &Edge{
		settings:    settings,
		log:         log,
		clk:         clk,
		net:         network,
		features:    features,
		metrics:     prometheus.NewRegistry(),
		incarnation: newIncarnation(settings.Node),
		catalog:     catalog.NewHolder(),
		outage:      outage{clk: clk},
		duty:        duty.New(settings.Duty.Addr, newTransport(network.DialContext)),
		placing:     placing.NewTracker(),
		started:     clk.Now(),
		watchJitter: mathrand.Float64(),
	}
	e.meter = spending.NewMeter(e.metrics)
	e.decisions = decisions.NewRecorder(e.metrics)
	e.eras = newEras(log, clk, e.metrics)
	e.breaks, e.gatewayBreaks = newTargetBreaks(), newTargetBreaks()
	e.store = objects.New(settings.Platform.Addr, newTransport(e.dialFor(spending.Store)))
	e.store.Observe = func(kind string, v objects.Verb) { e.meter.RecordCall(kind, string(v)) }
	e.store.ObserveEra = e.eras.record
	e.pool = lane.NewPool(e.clk, e.dialer)
	e.pool.Decisions, e.pool.Features = e.decisions, features
	if !features.Without(feature.ReturningCallers) {
		e.pool.Returning = &e.returning
	}
	e.loadReports = newLoadReports(e)
	e.outliers = newOutliers(e)
	e.gossip = newGossiper(e)
	e.firstCopies = newFirstCopies(e)
	e.groups = groups.NewRegistry(groups.Config{
		Catalog: e.catalog, Control: controlClient{e}, Clock: e.clk, Decode: line.ParseStatus, Records: leadershipRecords{e},
		Eligible: e.gossip.eligible, OnCommand: e.meter.RecordQuery, DrainTimeout: leaveAfter(settings), Log: log,
		Era: e.eras.current, RecordsRevision: e.recordsRevision,
		RecordsConfirmedAt: e.recordsConfirmedAt, TargetsConfirmedAt: e.targetsConfirmedAt, BrokenAt: e.brokenAt, ReachesPeers: func() bool { return e.gossip.Reaches(e.clk.Now()) },
	})
	e.limits = newLimits(e)
	e.local = &dispatch.Local{Pool: e.pool, Groups: e.groups, Clock: e.clk}
	statuses := relay.NewStatuses(e.pool, e.clk)
	e.router = relay.NewRouter(relay.RouterConfig{Local: e.local, Control: e.pool, Statuses: statuses, Groups: e.groups, Clock: e.clk, Log: log, Reports: e.loadReports.used(), Decisions: e.decisions, Outcome: e.outliers.record, IgnoresOverhead: features.Without(feature.VMCondition), Dial: e.dialFor(spending.Relay), Broken: func(id target.ID, at clock.Time) { e.gatewayBreaks.record(id, at, e.catalog.Load()) }})
	e.relay = relay.NewServer(relay.ServerConfig{Local: e.local, Control: e.pool, Statuses: statuses, Groups: e.groups, Clock: e.clk, Log: log, BrokenAt: e.breaks.last, Serves: e.acceptsRelayFor, Idle: e.relayIdleTimeout, Draw: e.limits.Draw, Returning: e.pool.Returning, ReportsNothing: features.Without(feature.LoadReports), Failures: &e.outliers.failures})
	avoid := e.outliers.avoid
	if features.Without(feature.Outliers) {
		avoid = nil
	}
	e.engineMetrics = engine.NewMetrics(e.metrics)
	e.engine = engine.New(engine.Config{
		Catalog: e.catalog, Groups: e.groups, Runner: e.router, Placing: e.placing, Clock: e.clk,
		Log: log, Metrics: e.engineMetrics, Zone: settings.Zone, Limiter: e.limits, Decisions: e.decisions,
		UsesGateways: e.router.UsesGatewaysFor, Avoid: avoid, Features: features,
	})
	e.fleetEntry = newFleetEntry(e)
	e.condition = newOwnCondition(e)
	e.registerMetrics()
	e.sessions = newSessions(e)
	e.promoter = promoter.New(promoter.Config{
		Node: settings.Node, Catalog: e.catalog, Groups: e.groups, Records: leadershipRecords{e},
		Platform: designator{e.duty}, Fleet: e.gossip, Clock: e.clk, Log: log, Nonce: rand.Text,
		Era: e.eras.current, RestoredAt: e.eras.restoredAt, Reset: e.outliers.reset,
	})
	return e
}

// leaveFraction is the fraction of the deployment's drain bound during which a draining target may
// still be assigned work. The remainder covers a late notification and the network latency.
const leaveFraction = 0.8

func leaveAfter(settings *boot.Settings) time.Duration {
	return time.Duration(float64(settings.Bounds.DrainMS)*leaveFraction) * time.Millisecond
}

// dialer returns a function that opens links to a target.
func (e *Edge) dialer(t *catalog.Target) lane.Dialer {
	targets := e.dialFor(spending.Target)
	return func(ctx context.Context, workspace string) (lane.Link, error) {
		client := workspace
		if client == "" {
			client = e.settings.Node
		}
		timeout := targetDialTimeout
		if deadline, ok := ctx.Deadline(); ok {
			timeout = min(timeout, time.Until(deadline))
		}
		link, err := line.Dial(ctx, targets, t.Addr, t.Service, client, t.ID, timeout)
		if err != nil {
			return nil, err
		}
		return observedLink{link, func() { e.breaks.record(t.ID, e.clk.Now(), e.catalog.Load()) }}, nil
	}
}

// Serve serves until ctx ends, and then shuts down gracefully.
func (e *Edge) Serve(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 3)
	if err := e.listen(failed); err != nil {
		return err
	}
	e.startWatches(work)
	go e.distributeCatalog(work)
	go func() {
		e.fleetEntry.join(work)
		e.fleetEntry.maintain(work)
	}()
	go e.maintain(work)
	go e.promoter.Run(work)
	go e.gossip.run(work)
	go e.router.TellRefused(work, &e.returning)
	e.log.Info("serving", zap.String("consumers", e.settings.Listen.Consumers), zap.String("incarnation", e.incarnation), zap.Stringer("without", e.features))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		e.shutDownGracefully(work)
		return nil
	}
}

// reloadOn reloads the settings at each signal.
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

// reload reads the settings again after SIGHUP. It applies only the memory limit, which affects
// this process alone.
//
// Failure guarded against: settings change on some VMs before others, so that the result of a
// request depends on which VM serves it. All other changes take effect when a process starts; until
// then the log shows which VMs do not apply them yet.
func (e *Edge) reload() {
	next, err := boot.Load()
	if err != nil {
		e.log.Warn("settings-refused", zap.Error(err))
		return
	}
	if next.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(next.Limits.MemoryMB<<20) * memoryFraction))
	}
	e.log.Info("settings-reloaded", zap.Int64("memory-mb", next.Limits.MemoryMB),
		zap.Strings("at-next-start", boot.Differences(e.settings, next)))
}

func (e *Edge) listen(failed chan<- error) error {
	ready, err := e.net.Listen(e.settings.Listen.Ready)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	consumers, err := e.net.Listen(e.settings.Listen.Consumers)
	if err != nil {
		return errors.Wrap(err, "listen for consumers")
	}
	peers, err := e.net.Listen(e.settings.Listen.Control)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	e.listeners = []net.Listener{ready, consumers, peers}
	forPeers, forBalancer := gossip.NewHTTPServer(e.closesAsItLeaves(e.gossip.handler())), &http.Server{Handler: e.readyHandler()}
	e.servers = []*http.Server{forPeers, forBalancer}
	go func() { failed <- forPeers.Serve(peers) }()
	go func() { failed <- forBalancer.Serve(ready) }()
	go func() { failed <- e.sessions.accept(consumers) }()
	return nil
}

// distributeCatalog passes each new catalog to the components that depend on it.
func (e *Edge) distributeCatalog(ctx context.Context) {
	tick := time.NewTicker(liveCheckInterval)
	defer tick.Stop()
	assignment := gateways.NewAssignment(e.settings.Node, e.catalog.Load())
	for {
		changed := e.catalog.Changed()
		c := e.catalog.Load()
		live := e.gossip.liveCount(c)
		assignment = assignment.Next(c, live)
		e.pool.Update(c, assignment.Share)
		e.router.Update(assignment, c)
		e.gossip.takesReports.Store(e.router.UsesGateways() && !e.features.Without(feature.LoadReports))
		e.limits.update(c)
		e.groups.Update(c)
		e.gossip.updatePeers(c)
		e.placing.Retain(c.Incarnation)
		e.loadReports.book.Retain(c.Incarnation)
		e.outliers.retain(c)
		if !e.awaitChange(ctx, changed, tick.C, live) {
			return
		}
	}
}

// liveCheckInterval is how often the number of live VMs is compared with the previous one. Peers
// are polled in turn, each about once a second.
const liveCheckInterval = time.Second

// awaitChange waits until the catalog has changed, the number of live VMs has changed, or the
// owners of limits are due to change. It returns false once ctx has ended.
func (e *Edge) awaitChange(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time, live int) bool {
	for {
		select {
		case <-changed:
			return true
		case <-tick:
			if c := e.catalog.Load(); e.gossip.liveCount(c) != live || e.limits.outdated(c) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// maintain runs the periodic work.
func (e *Edge) maintain(ctx context.Context) {
	tick := time.NewTicker(lane.MaintainInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	queueReport := time.NewTicker(queueReportInterval)
	defer queueReport.Stop()
	e.condition.arm(tick, lane.MaintainInterval)
	for {
		select {
		case <-tick.C:
			e.condition.sample(ctx)
			e.pool.Maintain()
			e.relay.Sweep()
			e.condition.arm(tick, lane.MaintainInterval)
		case <-summary.C:
			e.summarize()
		case <-queueReport.C:
			e.reportQueues()
			e.decisions.Report(e.log)
		case <-ctx.Done():
			return
		}
	}
}

package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/admin"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/control/traffic"
	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/explain"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/proxy"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/settings"
	"endivemoor.example/endivemoor/store/client"
	"endivemoor.example/endivemoor/view"
)

const (
	// exchangeInterval is the interval of exchanges with peers.
	exchangeInterval = 500 * time.Millisecond
	// maxRequestRecords and maxPromotionRecords limit what explain can show.
	maxRequestRecords   = 4096
	maxPromotionRecords = 256
	// flushTimeout limits the audit trail's last write.
	flushTimeout = 3 * time.Second
	// notReadyPeriod is how long connections are still accepted after /readyz has begun to refuse,
	// so that the balancer has time to notice.
	notReadyPeriod = time.Second
)

// daemon holds the components of one running process.
type daemon struct {
	set          *settings.Settings
	incarnation  uint64
	log          *zap.Logger
	level        zap.AtomicLevel
	cert         *proxy.Certificate
	clk          *monotonic.Clock
	metrics      *prometheus.Registry
	views        *view.Holder
	tracker      *routing.Tracker
	evidence     *controller.Evidence
	links        *control.Links
	traffic      *traffic.Meter
	store        *client.Client
	clients      *peer.Clients
	config       *controller.Configuration
	drains       *controller.Drains
	tokens       *session.Keys
	users        *users
	trail        *auditlog.Recorder
	requests     *explain.Ring
	promotions   *explain.Ring
	manager      *controller.Manager
	exchange     *controller.Exchange
	assignment   *controller.Assignment
	statusPoller *controller.StatusPoller
	callers      *proxy.Server
	peers        *http.Server
	admin        *http.Server
	draining     atomic.Bool
}

// Run serves with the settings in the file at path until ctx ends, then shuts down gracefully.
func Run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	go d.reloadOnHangup(ctx, path)
	defer func() { _ = d.log.Sync() }()
	return d.run(ctx)
}

func newDaemon(s *settings.Settings) (*daemon, error) {
	log, level, err := newLog(s)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		set:         s,
		incarnation: uint64(time.Now().UnixNano()),
		log:         log,
		level:       level,
		clk:         monotonic.New(),
		metrics:     prometheus.NewRegistry(),
		views:       view.NewHolder(),
		tracker:     routing.NewTracker(),
		evidence:    controller.NewEvidence(),
		requests:    explain.NewRing(maxRequestRecords),
		promotions:  explain.NewRing(maxPromotionRecords),
		assignment:  controller.NewAssignment(membership.VM{ID: s.VM.ID, Zone: s.VM.Zone, Addr: s.Listen.Peers}),
	}
	d.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.config = controller.NewConfiguration(d.views, log)
	d.drains = controller.NewDrains(d.views, log)
	for _, build := range []func() error{d.buildAuth, d.buildStore, d.buildPeers, d.buildControl, d.buildCallers} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *daemon) buildAuth() (err error) {
	if d.tokens, err = session.NewKeys(d.set.ActiveKey, d.set.SessionKeys); err != nil {
		return errors.Wrap(err, "session keys")
	}
	d.users, err = newUsers(d.set.Users)
	return err
}

func (d *daemon) buildStore() (err error) {
	if d.traffic, err = traffic.NewMeter(d.metrics); err != nil {
		return err
	}
	options := client.Options{
		Timeout:    d.set.Platform.Timeout,
		Registerer: d.metrics,
		Dial:       d.traffic.Dial(traffic.Platform, &net.Dialer{}),
	}
	if d.store, err = client.New(d.set.Platform.URL, options); err != nil {
		return err
	}
	d.trail, err = auditlog.NewRecorder(auditlog.New(d.store), d.log, d.metrics)
	return err
}

// incarnationName returns the name of this run of the daemon in leases and reservations.
func (d *daemon) incarnationName() string {
	return fmt.Sprintf("%s-%x", d.set.VM.ID, d.incarnation)
}

func (d *daemon) run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 3)
	// A peer may send groups as soon as the peer endpoint listens.
	d.manager.Start(work)
	if err := d.listen(failed); err != nil {
		return err
	}
	trailDone := d.startControllers(work)
	d.log.Info("serving", zap.String("callers", d.set.Listen.Callers), zap.String("incarnation", d.incarnationName()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	err := d.shutDown(work)
	stop()
	<-trailDone
	return err
}

// listen binds all endpoints before it serves any of them.
func (d *daemon) listen(failed chan<- error) error {
	serve := []struct {
		addr string
		run  func(net.Listener) error
	}{
		{d.set.Listen.Admin, d.admin.Serve},
		{d.set.Listen.Peers, func(ln net.Listener) error { return peer.Serve(d.peers, d.traffic.Listen(traffic.Peers, ln)) }},
		{d.set.Listen.Callers, d.callers.Serve},
	}
	listeners := make([]net.Listener, len(serve))
	for i, s := range serve {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listeners[i] = ln
	}
	for i, s := range serve {
		go func() {
			if err := s.run(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) && !d.draining.Load() {
				failed <- errors.Wrap(err, s.addr)
			}
		}()
	}
	return nil
}

func (d *daemon) startControllers(ctx context.Context) (trailDone <-chan struct{}) {
	for _, w := range d.watchers() {
		go w.Run(ctx)
	}
	go d.exchange.Run(ctx, exchangeInterval)
	go d.manager.RunDrains(ctx)
	go d.statusPoller.Run(ctx, d.set.Failover.Heartbeat)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.trail.Run(ctx, flushTimeout)
	}()
	return done
}

// shutDown follows the order given in the package comment.
func (d *daemon) shutDown(work context.Context) error {
	d.log.Info("drain_started")
	d.draining.Store(true)
	d.exchange.Leave(work)
	time.Sleep(notReadyPeriod)
	ctx, cancel := context.WithTimeout(work, d.set.Callers.DrainTimeout)
	defer cancel()
	err := d.callers.Drain(ctx)
	d.log.Info("drained", zap.Int("sessions_cut", d.callers.Sessions()), zap.Error(err))
	_ = d.peers.Close()
	_ = d.admin.Close()
	return err
}

// ready reports whether the balancer may send connections, and the reason if not.
func (d *daemon) ready() (bool, string) {
	v := d.views.Load()
	switch {
	case d.draining.Load():
		return false, "draining"
	case v.Profiles == nil:
		return false, "no profiles known yet"
	case len(v.Groups) == 0:
		return false, "no database groups known yet"
	default:
		return true, ""
	}
}

func (d *daemon) buildAdmin() {
	d.admin = admin.New(admin.Config{
		Ready:      d.ready,
		Status:     func() any { return d.status() },
		Requests:   d.requests,
		Promotions: d.promotions,
		Gatherer:   d.metrics,
	})
}

func (d *daemon) watchers() []*controller.Watcher {
	return append(d.manager.Watchers(d.assignment.Watches), d.profileWatcher())
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

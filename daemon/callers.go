package daemon

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/admission/limiter"
	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/explain"
	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/proxy"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/routing"
)

// maxQueued limits the requests that wait for one server. It only protects memory: long before the
// queue is this long, a request is refused because its deadline cannot be met.
const maxQueued = 4096

// controlPerServer is the number of connections reserved for control at each server.
const controlPerServer = 1

func (d *daemon) buildCallers() error {
	connections, err := d.newPool()
	if err != nil {
		return err
	}
	d.statusPoller = &controller.StatusPoller{
		Clock:      d.clk,
		Views:      d.views,
		Links:      d.links,
		Assignment: d.assignment,
		Router:     routing.NewRouter(d.tracker, routing.EvidencePolicy{}, newRand().Uint64()),
	}
	cfg := proxy.Config{
		View:         d.views,
		Router:       d.statusPoller,
		Tracker:      d.tracker,
		Limiter:      d.newLimiter(),
		Pool:         connections,
		Tokens:       d.tokens,
		Users:        d.users,
		Ack:          &controller.Gate{Gate: ack.Standard(), Links: d.links, Views: d.views, Clock: d.clk},
		Clock:        d.clk,
		Log:          d.log,
		Registerer:   d.metrics,
		Recorder:     requestSink{d.requests},
		Zone:         d.set.VM.Zone,
		Node:         nodeOf(d.set.VM.ID),
		RemoteCancel: d.remoteCancel,
		Seed:         newRand().Uint64(),
		Limits: proxy.Limits{
			MaxSessions: d.set.Callers.MaxSessions,
			MaxMessage:  d.set.Callers.MaxMessage,
			Startup:     d.set.Callers.StartupTimeout,
		},
	}
	if d.set.TLS.Cert != "" {
		if d.cert, err = proxy.LoadCertificate(d.set.TLS.Cert, d.set.TLS.Key); err != nil {
			return errors.Wrap(err, "callers' key files")
		}
		cfg.TLS = d.cert.Config()
	}
	d.callers = proxy.New(cfg)
	d.buildAdmin()
	return nil
}

func (d *daemon) newPool() (*pool.Pool, error) {
	dial, err := pool.NewDialer(d.connString("127.0.0.1:1", controlDatabase))
	if err != nil {
		return nil, err
	}
	return pool.New(pool.Config{
		Dial:    dial,
		Limit:   d.set.Targets.Connections,
		Control: controlPerServer,
		Backoff: retry.Backoff{Base: 20 * time.Millisecond, Max: time.Second},
		Seed:    newRand().Uint64(),
		Clock:   d.clk,
		Log:     d.log,
		Metrics: pool.NewMetrics(d.metrics),
	}), nil
}

func (d *daemon) newLimiter() *limiter.Limiter {
	return limiter.New(limiter.Config{
		Queue:     admission.Config{Slots: d.set.Targets.Slots, MaxQueued: maxQueued, Seed: newRand().Uint64()},
		Clock:     d.clk,
		FleetSize: func() int { return d.views.Load().FleetSize },
	})
}

// requestSink stores the records of requests for explain.
type requestSink struct{ ring *explain.Ring }

// Record implements filter.Sink.
func (s requestSink) Record(rec *filter.Record) { s.ring.Add(strconv.FormatUint(rec.ID, 10), rec) }

package daemon

import (
	"context"
	"net"
	"net/url"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/control/traffic"
	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/target/pgtarget"
	"endivemoor.example/endivemoor/view"
)

// controlDatabase is the database that control connections log in to.
const controlDatabase = "postgres"

func (d *daemon) buildPeers() error {
	server, clientTLS, err := peerTLS(d.set.PeerTLS)
	if err != nil {
		return err
	}
	d.clients = peer.NewClients(clientTLS)
	d.clients.DialBy(d.traffic.Dial(traffic.Peers, peer.Dialer()))
	self := membership.VM{ID: d.set.VM.ID, Zone: d.set.VM.Zone, Addr: d.set.Listen.Peers}
	rng := newRand()
	d.exchange = controller.NewExchange(controller.ExchangeConfig{
		Clock:      d.clk,
		Views:      d.views,
		Config:     d.config,
		Clients:    d.clients,
		Store:      d.store,
		Assignment: d.assignment,
		Drains:     d.drains,
		Log:        d.log,
		OnGroup:    func(g *view.Group) { d.manager.OnPeerGroup(g) },
		OnDrain:    func(id target.ID, draining bool, rev int64) { d.manager.OnDrain(id, draining, rev) },
		OnChange:   d.onMembersChanged,
		Machine:    membership.New(membership.Config{Interval: exchangeInterval, Incarnation: d.incarnation, Seed: rng.Uint64()}, self),
		Rand:       rng,
	})
	d.peers = peer.NewServer(&peerHandler{d}, server)
	return nil
}

// onMembersChanged applies a change of the live VMs.
func (d *daemon) onMembersChanged(live []membership.VM) {
	d.log.Info("members_changed", zap.Int("live", len(live)))
	d.views.Update(func(v *view.View) { v.FleetSize = max(1, len(live)) })
	d.assignment.Update(live)
	d.manager.Reassign()
}

func (d *daemon) buildControl() error {
	d.links = control.NewLinks(d.dialControl, d.clk, control.DefaultTimeout, d.onAnswer)
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivemoor_group_events_dropped_total",
		Help: "Events that did not fit into a group controller's backlog.",
	})
	d.metrics.MustRegister(dropped)
	d.manager = &controller.Manager{
		Deps: controller.Deps{
			Clock: d.clk,
			Views: d.views,
			Links: d.links,
			Store: d.store,
			Peers: d.exchange,
			Recorder: &controller.Journal{
				VM:          d.set.VM.ID,
				Incarnation: d.incarnationName(),
				Trail:       d.trail,
				Promotions:  d.promotions,
				Log:         d.log,
			},
			Log: d.log,
		},
		Failover:   d.failoverConfig(),
		Serve:      d.set.VM.Groups,
		Drains:     d.drains,
		Assignment: d.assignment,
		Forget:     d.tracker.Retain,
		Dropped:    dropped.Inc,
	}
	return nil
}

func (d *daemon) failoverConfig() failover.Config {
	cfg := failover.Default()
	cfg.VM = d.set.VM.ID
	cfg.Zone = d.set.VM.Zone
	cfg.Zones = d.set.VM.Zones
	cfg.Incarnation = d.incarnationName()
	cfg.Heartbeat = d.set.Failover.Heartbeat
	cfg.SuspectAfter = d.set.Failover.SuspectAfter
	cfg.LeaseDuration = d.set.Failover.LeaseTime
	return cfg
}

// dialControl opens the control connection to a server.
func (d *daemon) dialControl(ctx context.Context, id target.ID, addr string) (target.Database, error) {
	dial := d.traffic.Dial(traffic.Targets, &net.Dialer{})
	return pgtarget.DialBy(ctx, id, d.connString(addr, controlDatabase), dial)
}

// connString returns the connection URL of a server, with the login.
func (d *daemon) connString(addr, database string) string {
	query := url.Values{"sslmode": {d.set.Targets.TLS}}
	if d.set.Targets.CA != "" {
		query.Set("sslrootcert", d.set.Targets.CA)
	}
	u := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(d.set.Targets.User, d.set.Targets.Password),
		Host:     addr,
		Path:     "/" + database,
		RawQuery: query.Encode(),
	}
	return u.String()
}

// onAnswer records the result of every control query as evidence and for routing.
func (d *daemon) onAnswer(id target.ID, a control.Answer, err error) {
	d.evidence.Add(id, a, err)
	if err != nil {
		return
	}
	d.tracker.Observe(id, a.Status, a.Asked, a.Answered)
	if a.Status.Role != target.RolePrimary {
		return
	}
	for name, g := range d.views.Load().Groups {
		if g.Primary == id && g.Term == a.Status.Term {
			d.tracker.ObservePrimary(name, a.Status.Position(), a.Asked)
		}
	}
}

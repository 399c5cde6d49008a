package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

const (
	// maxGateways bounds the gateways that one statement is sent to.
	maxGateways = 2
	// loadAge is how long a gateway's word of its load counts: about the time in
	// which a queue of a few statements is worked off.
	loadAge = 200 * time.Millisecond
)

// RouterConfig of a Router.
type RouterConfig struct {
	// Local runs what needs no gateway; Asker carries orders, and Statuses questions.
	Local    dispatch.Runner
	Asker    Controller
	Statuses *Statuses
	Groups   *groups.Registry
	Clock    clock.Clock
	Log      *zap.Logger
	// Dial connects to peers.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Router runs statements over this VM's own connections or through gateways.
type Router struct {
	cfg   RouterConfig
	peers *peers
	plan  atomic.Pointer[planned]

	mu   sync.Mutex
	load map[target.ID]*load
}

// planned is the plan with the catalog that it was made of.
type planned struct {
	*gateways.Plan
	catalog *catalog.Catalog
}

// load is what this VM has under way to a target through gateways, and what the
// last one said of itself.
type load struct {
	underWay int
	told     int
	at       clock.Time
}

var _ dispatch.Runner = (*Router)(nil)

// NewRouter returns a Router that uses no gateway before Update.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, peers: newPeers(cfg.Dial, cfg.Clock), load: make(map[target.ID]*load)}
}

// Update takes over a new plan.
func (r *Router) Update(p *gateways.Plan, c *catalog.Catalog) {
	r.plan.Store(&planned{p, c})
	addrs := make(map[string]bool, len(c.VMs))
	for _, vm := range c.VMs {
		addrs[vm.Peer] = true
	}
	r.peers.keep(addrs)
	r.cfg.Statuses.Keep(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.load {
		if c.Targets[id] == nil {
			delete(r.load, id)
		}
	}
}

// route returns the gateways to try for a target; none if this VM connects by
// itself, as it also does if none of them answers.
func (r *Router) route(id target.ID, workspace string) []catalog.VM {
	p := r.plan.Load()
	if p == nil {
		return nil
	}
	t := p.catalog.Targets[id]
	if t == nil {
		return nil
	}
	var out []catalog.VM
	for _, vm := range p.Route(t, workspace) {
		if len(out) < maxGateways && !r.peers.rests(vm.Peer) {
			out = append(out, vm)
		}
	}
	return r.peers.trusted(out)
}

// Proves implements dispatch.Runner: a gateway's answers bring proofs along.
func (r *Router) Proves(id target.ID) bool { return len(r.route(id, "")) > 0 }

// Load implements dispatch.Runner.
func (r *Router) Load(id target.ID) lane.Load {
	if len(r.route(id, "")) == 0 {
		return r.cfg.Local.Load(id)
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.load[id]
	switch {
	case l == nil:
		return lane.Load{}
	case now.Sub(l.at) > loadAge:
		return lane.Load{InUse: l.underWay}
	default:
		return lane.Load{InUse: max(l.underWay, l.told)}
	}
}

// begin counts a statement on its way; the result counts its end.
func (r *Router) begin(id target.ID) func(told int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.load[id]
	if l == nil {
		l = &load{}
		r.load[id] = l
	}
	l.underWay++
	return func(told int32) {
		now := r.cfg.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		l.underWay--
		if told >= 0 {
			l.told, l.at = int(told), now
		}
	}
}

// untold is given to what begin returns if the gateway did not tell its load.
const untold = -1

// mayPass reports whether a statement may go to the next gateway: it surely was
// not sent, and another VM may reach the target.
func mayPass(err error) bool {
	var unavailable *lane.UnavailableError
	return isGateway(err) || (errors.As(err, &unavailable) && dispatch.Silent(err))
}

// through tries the gateways to a target in turn, while the statement may pass.
// The result is whether one of them has settled it; err is then what came of it.
// If no gateway can say anything of the target, it is not settled.
func (r *Router) through(id target.ID, workspace string, try func(vm catalog.VM) error) (settled bool, err error) {
	var silent error
	for _, vm := range r.route(id, workspace) {
		err := try(vm)
		if err == nil || !mayPass(err) {
			return true, err
		}
		if !isGateway(err) {
			silent = err
		}
	}
	return silent != nil, silent
}

// Run implements dispatch.Runner.
func (r *Router) Run(ctx context.Context, id target.ID, claim dispatch.Claim, job *dispatch.Job) (*dispatch.Result, error) {
	var out *dispatch.Result
	settled, err := r.through(id, claim.Order.Workspace, func(vm catalog.VM) (err error) {
		out, err = r.runAt(ctx, vm, id, claim, job)
		return err
	})
	if settled {
		return out, err
	}
	return r.cfg.Local.Run(ctx, id, claim, job)
}

// isGateway reports whether an error is a gateway's, not the target's.
func isGateway(err error) bool { return errors.Is(err, errUnreached) || errors.Is(err, errDeclined) }

// runAt runs one statement through a gateway.
func (r *Router) runAt(ctx context.Context, vm catalog.VM, id target.ID, c dispatch.Claim, j *dispatch.Job) (*dispatch.Result, error) {
	ended := r.begin(id)
	told := int32(untold)
	defer func() { ended(told) }()
	g := r.cfg.Groups.Group(j.Service)
	sent := r.cfg.Clock.Now()
	left := leftOf(ctx)
	in := jobOf(j, left)
	c.Queue = min(c.Queue, left)
	in.Claim = claimOf(j.Service, id, c, sent)
	in.ProofAgeUs = proofAge(g, sent)
	out, err := r.run(ctx, vm, g, g.Leadership.Believed(), id, in, sent, min(c.Queue+j.Answer, left))
	if err != nil {
		return nil, err
	}
	told = out.load
	return out.Result, nil
}

type outcome struct {
	*dispatch.Result
	load int32
}

// run makes the call for one statement, and keeps the accounts that its answer
// feeds.
func (r *Router) run(ctx context.Context, vm catalog.VM, g *groups.Group, b leadership.Belief, id target.ID, in *relaypb.RunRequest, sent clock.Time, most time.Duration) (*outcome, error) {
	before := g.Acknowledged.Before()
	var out *relaypb.RunReply
	err := r.peers.call(ctx, vm, most+callSlack, in.GetTransaction() == 0 && !in.GetCommits(), func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Run(ctx, in)
		return err
	})
	if err != nil {
		return nil, err
	}
	hear(g, out.GetEvidence(), sent)
	if out.GetFailure() != nil {
		return nil, r.failed(g, id, out.GetFailure())
	}
	a := answer(out.GetAnswer())
	g.Health.Answered(id)
	if in.GetCommits() && a.Code == statement.OK {
		g.Acknowledged.Commit(before, a.Position)
	}
	res := &dispatch.Result{Answer: a, Sent: sent, Took: duration(out.GetTookUs())}
	dispatch.Note(g, b, id, res)
	return &outcome{res, out.GetLoad()}, nil
}

// failed takes over a gateway's account of a target that did not answer.
func (r *Router) failed(g *groups.Group, id target.ID, f *relaypb.Failure) error {
	err := failure(f, id)
	if dispatch.Silent(err) && !isGateway(err) {
		g.Health.Failed(id, r.cfg.Clock.Now(), f.GetRefused())
	}
	return err
}

// leftOf is the time that a gateway has: its answer, also that there is none,
// must be back before the context's deadline.
//
// Failure guarded against: a statement that waited for a connection in vain and
// is taken for lost. It shows as a write in doubt that surely was not sent.
func leftOf(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return maxLeft
	}
	return max(time.Until(d)-callSlack, 0)
}

// maxLeft bounds a call whose context has no deadline.
const maxLeft = 2 * time.Second

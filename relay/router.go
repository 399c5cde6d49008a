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
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

const (
	// maxGateways bounds the gateways that one statement is tried at.
	maxGateways = 2
	// maxLoadAge is how long the load that a gateway reported counts: about the time in which a
	// queue of a few statements is processed.
	maxLoadAge = 200 * time.Millisecond
)

// RouterConfig configures a Router.
type RouterConfig struct {
	// Local runs statements that need no gateway; Control sends commands to targets, and Statuses
	// sends status queries.
	Local    dispatch.Runner
	Control  Controller
	Statuses *Statuses
	Groups   *groups.Registry
	Clock    clock.Clock
	Log      *zap.Logger
	// Reports holds the gateways' reports; without it, none are used.
	Reports *loadreport.Book
	// Outcome is told how each statement outside of a transaction ended at its target, and whether it
	// is a read, and went over this VM's own connections; it may be nil.
	Outcome func(service string, id target.ID, o outlier.Outcome, read, local bool)
	// Decisions counts the gateways that are passed over; without it, nothing is counted.
	Decisions *decisions.Recorder
	// IgnoresOverhead is set if what a gateway adds does not decide which one is tried first.
	IgnoresOverhead bool
	// Broken is told when a connection between a gateway and a target broke; it may be nil.
	Broken func(id target.ID, at clock.Time)
	// Dial connects to peers.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Router runs statements over this VM's own connections or through gateways.
type Router struct {
	cfg        RouterConfig
	peers      *peers
	assignment atomic.Pointer[catalogAssignment]
	overheads  overheads

	mu   sync.Mutex
	load map[target.ID]*load
}

// catalogAssignment is an assignment with the catalog that it was computed from.
type catalogAssignment struct {
	*gateways.Assignment
	catalog *catalog.Catalog
	// anyGateway is set if the fleet uses gateways to some target.
	anyGateway bool
	objectives objectives
}

// load is the number of statements that this VM has in flight to a target through gateways, and
// the load that a gateway last reported for the target.
type load struct {
	inFlight   int
	reported   int
	reportedAt clock.Time
}

var _ dispatch.Runner = (*Router)(nil)

// NewRouter returns a Router that uses no gateway until Update is called.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, peers: newPeers(cfg.Dial, cfg.Clock), load: make(map[target.ID]*load)}
}

// Update installs a new assignment, computed from the catalog c.
func (r *Router) Update(p *gateways.Assignment, c *catalog.Catalog) {
	next := &catalogAssignment{Assignment: p, catalog: c, anyGateway: usesAnyGateway(p, c)}
	if before := r.assignment.Load(); before != nil {
		next.objectives = before.objectives
	}
	next.objectives = next.objectives.next(c.Config)
	r.assignment.Store(next)
	addrs := make(map[string]bool, len(c.VMs))
	for _, vm := range c.VMs {
		addrs[vm.Peer] = true
	}
	r.peers.retain(addrs)
	r.overheads.retain(c)
	r.cfg.Statuses.Retain(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.load {
		if c.Targets[id] == nil {
			delete(r.load, id)
		}
	}
}

// usesAnyGateway reports whether the fleet uses gateways to some target.
func usesAnyGateway(p *gateways.Assignment, c *catalog.Catalog) bool {
	for _, t := range c.Targets {
		if p.UsesGateways(t) {
			return true
		}
	}
	return false
}

// route returns the gateways to try for a target; none if this VM connects to the target itself,
// which it also does if none of the gateways replies.
func (r *Router) route(id target.ID, workspace string) []catalog.VM {
	p := r.assignment.Load()
	if p == nil {
		return nil
	}
	t := p.catalog.Targets[id]
	if t == nil {
		return nil
	}
	var out []catalog.VM
	for _, vm := range p.Route(t, workspace) {
		if len(out) < maxGateways && !r.peers.inBackoff(vm.Peer) {
			out = append(out, vm)
		}
	}
	return r.peers.suspectedLast(out)
}

// UsesGatewaysFor reports whether the fleet reaches a service's targets through gateways.
func (r *Router) UsesGatewaysFor(service string) bool {
	p := r.assignment.Load()
	return p != nil && p.UsedFor(service)
}

// ProvesFreshness implements dispatch.Runner: the replies of a gateway carry proofs.
func (r *Router) ProvesFreshness(id target.ID) bool { return len(r.route(id, "")) > 0 }

// Load implements dispatch.Runner.
func (r *Router) Load(id target.ID) lane.Load {
	route := r.route(id, "")
	if len(route) == 0 {
		return r.own(id)
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.load[id]
	inFlight := 0
	if l != nil {
		inFlight = l.inFlight
	}
	if reported, ok := r.reported(id, route[0].ID, inFlight, now); ok {
		return reported
	}
	switch {
	case l == nil:
		return lane.Load{}
	case now.Sub(l.reportedAt) > maxLoadAge:
		return lane.Load{InUse: l.inFlight}
	default:
		return lane.Load{InUse: max(l.inFlight, l.reported)}
	}
}

// begin counts a statement as in flight. The returned function counts its end, with the load that
// the gateway reported or unknownLoad.
func (r *Router) begin(id target.ID) func(reported int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.load[id]
	if l == nil {
		l = &load{}
		r.load[id] = l
	}
	l.inFlight++
	return func(reported int32) {
		now := r.cfg.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		l.inFlight--
		if reported >= 0 {
			l.reported, l.reportedAt = int(reported), now
		}
	}
}

// unknownLoad is the argument of the function that begin returns if the gateway did not report its
// load.
const unknownLoad = -1

// mayTryNext reports whether a statement may go to the next gateway: it was certainly not sent to
// the target, and another VM may reach the target.
func mayTryNext(err error) bool {
	var unavailable *lane.UnavailableError
	return isGateway(err) || (errors.As(err, &unavailable) && dispatch.Unresponsive(err))
}

// tryGateways tries the gateways to a target one after another, while the statement may go to the
// next one. It reports whether the statement is settled, that is, whether a gateway reported a
// result of the target; err is then that result. The statement is not settled if no gateway could
// report anything about the target.
func (r *Router) tryGateways(id target.ID, workspace string, try func(vm catalog.VM) error) (settled bool, err error) {
	var unreachable error
	for _, vm := range r.fasterFirst(id, r.route(id, workspace)) {
		err := try(vm)
		if err == nil || !mayTryNext(err) {
			return true, err
		}
		if !isGateway(err) {
			unreachable = err
		}
	}
	return unreachable != nil, unreachable
}

// Run implements dispatch.Runner.
func (r *Router) Run(ctx context.Context, id target.ID, claim dispatch.Claim, job *dispatch.Job) (*dispatch.Result, error) {
	var out *dispatch.Result
	settled, err := r.tryGateways(id, claim.Options.Workspace, func(vm catalog.VM) (err error) {
		out, err = r.runAt(ctx, vm, id, claim, job)
		return err
	})
	if settled {
		r.recordOutcome(ctx, id, job, out, err, false)
		return out, err
	}
	if ctx.Err() != nil {
		return nil, &lane.UnavailableError{Target: id, Expired: true, Cause: ctx.Err()}
	}
	out, err = r.cfg.Local.Run(ctx, id, claim, job)
	r.recordOutcome(ctx, id, job, out, err, true)
	return out, err
}

// isGateway reports whether an error is a gateway's, not the target's.
func isGateway(err error) bool { return errors.Is(err, errUnreached) || errors.Is(err, errDeclined) }

// runAt runs one statement through a gateway.
func (r *Router) runAt(ctx context.Context, vm catalog.VM, id target.ID, c dispatch.Claim, j *dispatch.Job) (*dispatch.Result, error) {
	ended := r.begin(id)
	reported := int32(unknownLoad)
	defer func() { ended(reported) }()
	g := r.cfg.Groups.Group(j.Service)
	sent := r.cfg.Clock.Now()
	left := timeLeft(ctx)
	in := jobOf(j, left)
	c.QueueTimeout = min(c.QueueTimeout, left)
	in.Claim = claimOf(j.Service, id, c, sent)
	in.ProofAgeUs = proofAge(g, sent)
	out, err := r.run(ctx, vm, g, g.Leadership.Current(), id, in, sent, min(c.QueueTimeout+j.AnswerTimeout, left))
	if err != nil {
		return nil, err
	}
	reported = out.load
	return out.Result, nil
}

type outcome struct {
	*dispatch.Result
	load int32
}

// run makes the call for one statement, and records the evidence, the health of the target and the
// acknowledged position that the reply shows.
func (r *Router) run(ctx context.Context, vm catalog.VM, g *groups.Group, b leadership.State, id target.ID, in *relaypb.RunRequest, sent clock.Time, timeout time.Duration) (*outcome, error) {
	before := g.BeforeCommit(id)
	var out *relaypb.RunReply
	err := r.peers.call(ctx, vm, timeout+callSlack, in.GetTransaction() == 0 && !in.GetCommits(), func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Run(ctx, in)
		return err
	})
	if err != nil {
		return nil, err
	}
	recordEvidence(g, out.GetEvidence(), sent)
	r.recordReport(id, vm.ID, out.GetLoadReport(), r.endOfWork(sent, out.GetTookUs()))
	if out.GetFailure() != nil {
		return nil, r.recordFailure(g, id, out.GetFailure())
	}
	r.recordOverhead(&vm, in, out, sent)
	a := answer(out.GetAnswer())
	g.Health.Answered(id)
	if in.GetCommits() && a.Code == statement.OK {
		g.Acknowledged.Commit(before, a.Position)
	}
	res := &dispatch.Result{Answer: a, Sent: sent, Took: duration(out.GetTookUs())}
	dispatch.RecordAnswer(g, b, id, res)
	return &outcome{res, out.GetLoad()}, nil
}

// recordFailure records a failure of a target that a gateway reported, and returns it as an error.
func (r *Router) recordFailure(g *groups.Group, id target.ID, f *relaypb.Failure) error {
	err := failure(f, id)
	if dispatch.Unresponsive(err) && !isGateway(err) {
		g.Health.Failed(id, r.cfg.Clock.Now(), f.GetRefused())
	}
	return err
}

// timeLeft returns the time that a gateway gets: its reply, including one that reports a failure,
// must arrive before the context's deadline.
//
// Failure guarded against: a statement waits for a connection until its deadline, and the late
// reply makes it count as lost. A write that was certainly not sent is then reported as in doubt.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return maxLeft
	}
	return max(time.Until(d)-callSlack, 0)
}

// maxLeft bounds a call whose context has no deadline.
const maxLeft = 2 * time.Second

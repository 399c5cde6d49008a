package promoter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// recordTimeout bounds recording an attempt.
	recordTimeout = time.Second
	// revokeTimeout bounds asking all VMs for their permissions. One that does
	// not answer costs takeover.Permission in all, so that waiting longer than
	// a fraction of it gains nothing.
	revokeTimeout = 250 * time.Millisecond
	// fenceTimeout bounds one order to a target. It waits for a slot, as a
	// question does.
	fenceTimeout = 300 * time.Millisecond
	// designateTimeout bounds the platform's call.
	designateTimeout = 800 * time.Millisecond
	// leadTimeout is how long the chosen target may take to lead: the platform
	// needs some hundred milliseconds, 600 ms at the slower of the two users.
	leadTimeout = 2500 * time.Millisecond
	// pollEvery is the interval of questions while a target catches up or is to
	// lead.
	pollEvery = 25 * time.Millisecond
	// catchUp is how long a planned change waits for a target that holds all.
	// The users' replicas are 60 ms behind on average and 360 ms at most.
	catchUp = 900 * time.Millisecond
)

// attempt is one change of primary under way.
type attempt struct {
	p       *Promoter
	g       *groups.Group
	reason  takeover.Reason
	old     target.ID
	started clock.Time
	known   *catalog.Reign // the record that the decision went by
	held    *catalog.Reign
	others  []*catalog.Target
	term    timeline.Term
	paused  []target.ID
	ordered bool
}

var (
	errUnreachable = errors.New("a target that may hold acknowledged commits does not answer")
	errTooFew      = errors.New("too few targets are left to surely hold every acknowledged commit")
	errLacking     = errors.New("no target holds what was acknowledged")
	errLate        = errors.New("the attempt's time is over")
	errSuperseded  = errors.New("another target leads")
	errUnpaused    = errors.New("the target is not paused")
	errRecovered   = errors.New("the primary answers again")
)

// act makes one attempt and logs what came of it.
func (p *Promoter) act(ctx context.Context, g *groups.Group, b leadership.Belief, known *catalog.Reign, signs takeover.Signs, reason takeover.Reason) {
	defer p.done(g)
	a := &attempt{p: p, g: g, reason: reason, old: b.Primary, known: known, started: p.cfg.Clock.Now(), others: g.Replicas(b.Primary)}
	log := p.cfg.Log.With(zap.String("service", g.Service), zap.String("reason", string(reason)), zap.String("old", string(b.Primary)))
	if err := a.feasible(ctx); err != nil {
		log.Info("takeover-unfeasible", zap.Error(err), zap.Duration("silent", signs.Silent), zap.Duration("stalled", signs.Stalled))
		return
	}
	if err := a.record(ctx); err != nil {
		log.Info("takeover-not-ours", zap.Error(err))
		return
	}
	log.Info("takeover-begun", zap.Int64("token", a.held.Revision), zap.Duration("silent", signs.Silent),
		zap.Int("refusals", signs.Refusals), zap.Duration("stalled", signs.Stalled), zap.Uint64("term", uint64(b.Term)))
	chosen, err := a.run(ctx)
	if err != nil {
		log.Warn("takeover-failed", zap.Error(err), zap.Bool("ordered", a.ordered), zap.Duration("after", a.elapsed()))
		a.giveUp(ctx)
		return
	}
	log.Info("takeover-done", zap.String("primary", string(chosen)), zap.Uint64("above", uint64(a.term)), zap.Duration("after", a.elapsed()))
	a.finish(ctx, chosen)
}

func (a *attempt) elapsed() time.Duration { return a.p.cfg.Clock.Now().Sub(a.started) }

// feasible asks every other target, so that no attempt is recorded, and
// nothing paused, that cannot succeed. It also learns the latest term.
func (a *attempt) feasible(ctx context.Context) error {
	if len(a.others) < a.enough() {
		return errTooFew
	}
	statuses := a.all(ctx, a.others, lane.AskStatus)
	var newest timeline.Position
	for _, s := range statuses {
		if s.err != nil {
			return errors.WithMessage(errUnreachable, string(s.id)+": "+s.err.Error())
		}
		if newest.Less(s.status.Received) {
			newest = s.status.Received
		}
	}
	if !a.reason.Planned() && newest.Less(a.g.Acknowledged.Bound()) {
		return errLacking
	}
	if a.g.Leadership.Believed().Primary != a.old {
		return errSuperseded
	}
	if a.reason != takeover.ReasonStalled {
		return nil
	}
	return a.confirmStall(ctx)
}

// enough is how many other targets are needed. A planned change knows where
// the old primary's log ends, so that one which holds that will do.
func (a *attempt) enough() int {
	if a.reason.Planned() {
		return 1
	}
	return takeover.Enough
}

// confirmStall tells a primary that cannot replicate from one that is merely
// slow: its log is ahead of every replica's, and none comes nearer.
func (a *attempt) confirmStall(ctx context.Context) error {
	before, err := a.newest(ctx)
	if err != nil {
		return err
	}
	end, err := a.g.Status(ctx, a.old, askTimeout)
	if err != nil {
		return nil
	}
	time.Sleep(4 * pollEvery)
	after, err := a.newest(ctx)
	if err != nil {
		return err
	}
	if before.Less(after) || !after.Less(end.Received) {
		return errRecovered
	}
	return nil
}

// newest is the highest position that any replica has received.
func (a *attempt) newest(ctx context.Context) (timeline.Position, error) {
	var out timeline.Position
	for _, s := range a.all(ctx, a.others, lane.AskStatus) {
		if s.err != nil {
			return out, errUnreachable
		}
		if out.Less(s.status.Received) {
			out = s.status.Received
		}
	}
	return out, nil
}

// record makes this VM the only one that may order a promotion.
//
// Failure guarded against: an attempt on top of another's. Between the decision
// to act and the record lie questions to the targets, in which another VM may
// have recorded its own. So the record is conditional on the revision that the
// decision went by, not on the latest one: then the update fails.
func (a *attempt) record(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	held, err := a.p.cfg.Records.Begin(ctx, a.known, catalog.Attempt{Holder: a.p.cfg.Node, Nonce: a.p.cfg.Nonce(), Deposed: a.old})
	if err != nil {
		return err
	}
	a.held = held
	return nil
}

// run fences, chooses and promotes. It returns the new primary.
func (a *attempt) run(ctx context.Context) (target.ID, error) {
	a.term = a.g.Leadership.Highest() + 1
	revoked := a.revoke(ctx)
	end, err := a.stepDown(ctx)
	if err != nil {
		return "", err
	}
	if end != nil {
		a.awaitHolder(ctx, *end)
	}
	fenced, err := a.pause(ctx)
	if err != nil {
		return "", err
	}
	fencedAt := a.p.cfg.Clock.Now()
	chosen, err := takeover.Choose(fenced, end)
	if err != nil {
		return "", err
	}
	if !<-revoked {
		a.waitOut(fencedAt)
	}
	// All VMs have told by now what they know to be acknowledged.
	if chosen.Received.Less(a.g.Acknowledged.Bound()) {
		return "", errLacking
	}
	if err := a.designate(ctx, chosen.ID); err != nil {
		return "", err
	}
	return chosen.ID, a.awaitLead(ctx, chosen.ID)
}

// revoke asks all VMs to give up their permissions, while the targets are
// fenced. The result is whether all have.
func (a *attempt) revoke(ctx context.Context) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		out <- a.p.cfg.Fleet.RevokeAll(ctx, a.held)
	}()
	return out
}

// waitOut waits until every permission has lapsed that a VM may still hold: no
// witness was asked in vain after the last target was paused.
func (a *attempt) waitOut(fenced clock.Time) {
	left := takeover.Permission - a.p.cfg.Clock.Now().Sub(fenced)
	a.p.cfg.Log.Info("permissions-waited-out", zap.String("service", a.g.Service), zap.Duration("for", left))
	time.Sleep(left)
}

// stepDown asks the old primary to lead no longer, and returns where its log
// ends. A planned change begins with it, so that writes are refused as not run
// instead of being left in doubt. One that is dead need not answer.
func (a *attempt) stepDown(ctx context.Context) (*timeline.Position, error) {
	if a.old == "" {
		return nil, nil
	}
	if !a.reason.Planned() {
		// Its replicas are paused next; what it still holds back is not
		// acknowledged. Its answer is not waited for.
		go func() { _, _ = a.g.Order(ctx, a.old, lane.AskStepDown(a.term), fenceTimeout) }()
		return nil, nil
	}
	s, err := a.g.Order(ctx, a.old, lane.AskStepDown(a.term), fenceTimeout)
	if err != nil {
		return nil, errors.WithMessage(err, "step down")
	}
	return &s.Received, nil
}

// awaitHolder waits until a target that stays holds the old primary's whole
// log.
func (a *attempt) awaitHolder(ctx context.Context, end timeline.Position) {
	deadline := a.p.cfg.Clock.Now().Add(catchUp)
	for a.p.cfg.Clock.Now().Before(deadline) {
		for _, s := range a.all(ctx, a.others, lane.AskStatus) {
			t := a.p.cfg.Catalog.Load().Targets[s.id]
			if s.err == nil && t != nil && !t.Draining && !s.status.Received.Less(end) {
				return
			}
		}
		time.Sleep(pollEvery)
	}
}

// pause stops every other target from receiving. All of them must answer: one
// that does not may be the only holder of an acknowledged commit, or the one
// that still vouches for the old primary.
func (a *attempt) pause(ctx context.Context) ([]takeover.Fenced, error) {
	answers := make([]told, len(a.others))
	var wait sync.WaitGroup
	for i, t := range a.others {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = a.pauseOne(ctx, t.ID)
		}()
	}
	wait.Wait()
	var out []takeover.Fenced
	var failed error
	for _, s := range answers {
		if s.err != nil {
			failed = errors.WithMessage(s.err, "pause "+string(s.id))
			continue
		}
		a.paused = append(a.paused, s.id)
		t := a.p.cfg.Catalog.Load().Targets[s.id]
		out = append(out, takeover.Fenced{ID: s.id, Received: s.status.Received, Leaving: t == nil || t.Draining})
	}
	return out, failed
}

// pauseOne pauses a target, and takes only its own word that it is paused.
//
// Failure guarded against: one of the others still believes that it leads, from
// a reign before. An order to pause means nothing to it; later it follows the
// primary that is being replaced, and acknowledges commits which the chosen
// target lacks. So it is made to step down first, and one that leads in a later
// term ends the attempt.
func (a *attempt) pauseOne(ctx context.Context, id target.ID) told {
	s, err := a.orderPatiently(ctx, id, lane.AskPause(a.term))
	if err == nil && s.Role == target.RolePrimary {
		if s.Term >= a.term-1 {
			return told{id: id, err: errSuperseded}
		}
		if _, err = a.orderPatiently(ctx, id, lane.AskStepDown(a.term)); err == nil {
			s, err = a.orderPatiently(ctx, id, lane.AskPause(a.term))
		}
	}
	if err == nil && (s.Role != target.RoleReplica || s.Paused < a.term) {
		err = errUnpaused
	}
	return told{id: id, status: s, err: err}
}

// designate orders the promotion, within the attempt's time. A call whose
// answer is lost is repeated for the same target only: it may have been done.
func (a *attempt) designate(ctx context.Context, id target.ID) error {
	for {
		left := takeover.Limit - a.elapsed()
		if left <= 0 {
			return errLate
		}
		a.ordered = true
		call, cancel := context.WithTimeout(ctx, min(left, designateTimeout))
		err := a.p.cfg.Platform.Promote(call, a.p.cfg.Node, a.held.Revision, a.g.Service, id)
		cancel()
		if err == nil {
			return nil
		}
		a.p.cfg.Log.Warn("designation-failed", zap.String("service", a.g.Service), zap.String("target", string(id)), zap.Error(err))
		if errors.Is(err, ErrNotRunning) {
			return err
		}
		time.Sleep(pollEvery)
	}
}

// ErrNotRunning is what a Designator returns if the target does not run: the
// order was refused for good.
var ErrNotRunning = errors.New("the designated target is not running")

// awaitLead waits until the chosen target says that it leads.
func (a *attempt) awaitLead(ctx context.Context, id target.ID) error {
	deadline := a.p.cfg.Clock.Now().Add(leadTimeout)
	for a.p.cfg.Clock.Now().Before(deadline) {
		s, err := a.g.Status(ctx, id, askTimeout)
		if err == nil && s.Role == target.RolePrimary {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return errors.New("the chosen target does not lead yet")
}

// finish records the new primary, and lets the others receive from it.
func (a *attempt) finish(ctx context.Context, chosen target.ID) {
	a.resume(ctx, chosen)
	a.end(ctx, chosen)
	a.p.chase(a.g.Service, a.old, a.term)
}

// giveUp undoes what a failed attempt left behind. Once a promotion was
// ordered it may still come, and nothing is resumed: a target that receives
// from the old primary again would let it acknowledge what the new one lacks.
func (a *attempt) giveUp(ctx context.Context) {
	if a.ordered {
		return
	}
	a.resume(ctx, "")
	a.end(ctx, a.held.Primary)
}

func (a *attempt) resume(ctx context.Context, except target.ID) {
	for _, id := range a.paused {
		if id == except {
			continue
		}
		if _, err := a.g.Order(ctx, id, lane.AskResume, fenceTimeout); err != nil {
			a.p.cfg.Log.Warn("resume-unanswered", zap.String("target", string(id)), zap.Error(err))
			a.p.chase(a.g.Service, id, a.term)
		}
	}
}

func (a *attempt) end(ctx context.Context, primary target.ID) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := a.p.cfg.Records.End(ctx, a.held, primary); err != nil {
		a.p.cfg.Log.Warn("takeover-unrecorded", zap.String("service", a.g.Service), zap.Error(err))
	}
}

// told is one target's answer to an order.
type told struct {
	id     target.ID
	status statement.Status
	err    error
}

// all sends an order to several targets at once.
func (a *attempt) all(ctx context.Context, targets []*catalog.Target, ask lane.Ask) []told {
	out := make([]told, len(targets))
	var wait sync.WaitGroup
	for i, t := range targets {
		wait.Add(1)
		go func() {
			defer wait.Done()
			out[i].id = t.ID
			out[i].status, out[i].err = a.orderPatiently(ctx, t.ID, ask)
		}()
	}
	wait.Wait()
	return out
}

// orderPatiently repeats an order to a target that has no slot free.
func (a *attempt) orderPatiently(ctx context.Context, id target.ID, ask lane.Ask) (statement.Status, error) {
	for try := 0; ; try++ {
		s, err := a.g.Order(ctx, id, ask, fenceTimeout)
		if err == nil || !lane.Answered(err) || try == maxBusy {
			return s, err
		}
		time.Sleep(pollEvery)
	}
}

// maxBusy bounds the repetitions of an order that met a full target.
const maxBusy = 6

package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// endTimeout bounds the call that ends a transaction at a gateway. A gateway that does not receive
// the call ends the transaction by Server.Sweep.
const endTimeout = 500 * time.Millisecond

// transaction is a transaction that is open at a gateway.
type transaction struct {
	router *Router
	group  *groups.Group
	state  leadership.State
	id     target.ID
	vm     catalog.VM
	number uint64
	ended  bool
}

// Open implements dispatch.Runner.
func (r *Router) Open(ctx context.Context, id target.ID, claim dispatch.Claim, o *dispatch.Opening) (dispatch.Transaction, *statement.Answer, error) {
	var tx dispatch.Transaction
	var a *statement.Answer
	settled, err := r.tryGateways(id, claim.Options.Workspace, func(vm catalog.VM) (err error) {
		tx, a, err = r.openAt(ctx, vm, id, claim, o)
		return err
	})
	if settled {
		return tx, a, err
	}
	return r.cfg.Local.Open(ctx, id, claim, o)
}

func (r *Router) openAt(ctx context.Context, vm catalog.VM, id target.ID, c dispatch.Claim, o *dispatch.Opening) (dispatch.Transaction, *statement.Answer, error) {
	ended := r.begin(id)
	reported := int32(unknownLoad)
	defer func() { ended(reported) }()
	g := r.cfg.Groups.Group(o.Service)
	b := g.Leadership.Current()
	left := timeLeft(ctx)
	c.QueueTimeout = min(c.QueueTimeout, left)
	sent := r.cfg.Clock.Now()
	in := &relaypb.OpenRequest{
		Claim: claimOf(o.Service, id, c, sent), Values: valuesOf(o.Values),
		ReadOnly: o.Begin.ReadOnly, After: positionOf(o.Begin.After), LeftUs: micros(left), ProofAgeUs: proofAge(g, sent),
	}
	var out *relaypb.OpenReply
	err := r.peers.call(ctx, vm, left+callSlack, true, func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Open(ctx, in)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	reported = out.GetLoad()
	recordEvidence(g, out.GetEvidence(), sent)
	r.recordReport(id, vm.ID, out.GetLoadReport(), sent)
	if out.GetFailure() != nil {
		return nil, nil, r.recordFailure(g, id, out.GetFailure())
	}
	a := answer(out.GetAnswer())
	g.Health.Answered(id)
	if a.Code == statement.ReadOnly {
		g.Refused(id)
	}
	if out.GetTransaction() == 0 {
		return nil, a, nil
	}
	return &transaction{router: r, group: g, state: b, id: id, vm: vm, number: out.GetTransaction()}, a, nil
}

// Target implements dispatch.Transaction.
func (t *transaction) Target() target.ID { return t.id }

// Run implements dispatch.Transaction. The gateway itself releases the connection once the
// transaction has ended.
func (t *transaction) Run(ctx context.Context, o lane.AcquireOptions, j *dispatch.Job) (*dispatch.Result, error) {
	left := timeLeft(ctx)
	in := jobOf(j, left)
	in.Transaction = t.number
	sent := t.router.cfg.Clock.Now()
	in.Claim = claimOf(j.Service, t.id, dispatch.Claim{Options: o}, sent)
	in.ProofAgeUs = proofAge(t.group, sent)
	out, err := t.router.run(ctx, t.vm, t.group, t.state, t.id, in, sent, min(j.AnswerTimeout, left))
	if err != nil {
		return nil, err
	}
	t.ended = out.Answer.State == statement.Idle
	return out.Result, nil
}

// Release implements dispatch.Transaction.
func (t *transaction) Release() {}

// Abandon implements dispatch.Transaction.
func (t *transaction) Abandon() { t.end(false) }

// Discard implements dispatch.Transaction.
func (t *transaction) Discard() { t.end(true) }

func (t *transaction) end(discard bool) {
	if t.ended {
		return
	}
	t.ended = true
	go func() {
		in := &relaypb.EndRequest{Transaction: t.number, Discard: discard}
		err := t.router.peers.call(context.Background(), t.vm, endTimeout, false, func(ctx context.Context, to relaypb.Relay) error {
			_, err := to.End(ctx, in)
			return err
		})
		if err != nil {
			t.router.cfg.Log.Debug("relayed-transaction-unended", zap.String("gateway", t.vm.ID), zap.Error(err))
		}
	}()
}

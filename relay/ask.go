package relay

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// Asker carries the fleet's own questions: those for a target's status through
// a gateway where this VM has one, so that each VM's questions do not take the
// connections that the gateways serve by. Orders go to the target itself.
type Asker struct{ *Router }

var _ groups.Asker = Asker{}

// Control implements groups.Asker.
func (a Asker) Control(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) ([]string, error) {
	if ask != lane.AskStatus {
		return a.cfg.Asker.Control(ctx, id, ask, timeout)
	}
	for _, vm := range a.route(id) {
		rows, err := a.askAt(ctx, vm, id, timeout)
		if err == nil || !isGateway(err) {
			return rows, err
		}
	}
	return a.cfg.Asker.Control(ctx, id, ask, timeout)
}

// askAt asks through one gateway. Its silence is taken for its own, so that the
// question is asked elsewhere: it has no effect.
func (a Asker) askAt(ctx context.Context, vm catalog.VM, id target.ID, timeout time.Duration) ([]string, error) {
	var out *relaypb.AskReply
	in := &relaypb.AskRequest{Target: string(id), TimeoutUs: micros(timeout)}
	err := a.peers.call(ctx, vm, timeout+callSlack, func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Ask(ctx, in)
		return err
	})
	switch {
	case err != nil:
		return nil, errUnreached
	case out.GetFailure() != nil:
		return nil, failure(out.GetFailure(), id)
	case out.GetRefusedCode() != 0:
		return nil, &lane.RefusedError{Target: id, Code: statement.Code(out.GetRefusedCode())}
	default:
		return out.GetRows(), nil
	}
}

package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// Asker carries the fleet's own questions and orders. Where this VM has a gateway
// to a target, questions go through it, so that each VM's questions do not take
// the connections that the gateways serve by. Orders go to the target itself, and
// through a gateway if the target takes no further connection.
type Asker struct{ *Router }

var _ groups.Asker = Asker{}

// Control implements groups.Asker.
func (a Asker) Control(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) ([]string, error) {
	if ask == lane.AskStatus {
		if rows, err := a.ask(ctx, id, ask, timeout); !isGateway(err) {
			return rows, err
		}
		return a.cfg.Asker.Control(ctx, id, ask, timeout)
	}
	rows, err := a.cfg.Asker.Control(ctx, id, ask, timeout)
	var u *lane.UnavailableError
	if !errors.As(err, &u) || u.Code != statement.TooManyConnections {
		return rows, err
	}
	if rows, relayed := a.ask(ctx, id, ask, timeout); !isGateway(relayed) {
		return rows, relayed
	}
	return nil, err
}

// ask tries the gateways to a target; errUnreached if none of them can say.
func (a Asker) ask(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) ([]string, error) {
	for _, vm := range a.route(id) {
		if rows, err := a.askAt(ctx, vm, id, ask, timeout); !isGateway(err) {
			return rows, err
		}
	}
	return nil, errUnreached
}

// askAt asks through one gateway. Its silence is taken for its own, so that the
// question is asked elsewhere: repeating it, or an order, does no harm.
func (a Asker) askAt(ctx context.Context, vm catalog.VM, id target.ID, ask lane.Ask, timeout time.Duration) ([]string, error) {
	kind, term := ask.Encode()
	var out *relaypb.AskReply
	in := &relaypb.AskRequest{Target: string(id), TimeoutUs: micros(timeout), Kind: kind, Term: term}
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

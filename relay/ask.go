package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
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

// Control implements groups.Asker.
//
// Failure guarded against: a change of primary is weighed for a target that is crowded,
// and each VM of the fleet opens a connection to each target of the service for its
// question. Connections take slots, and the target is crowded the more.
func (a Asker) Control(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) ([]string, error) {
	if ask == lane.StatusCommand {
		rows, _, err := a.Recent(ctx, id, 0, timeout)
		return rows, err
	}
	rows, err := a.cfg.Asker.Control(ctx, id, ask, timeout)
	var u *lane.UnavailableError
	if !errors.As(err, &u) || u.Code != statement.TooManyConnections {
		return rows, err
	}
	if rows, _, relayed := a.ask(ctx, id, ask, 0, timeout); !isGateway(relayed) {
		return rows, relayed
	}
	return nil, err
}

// Recent implements groups.Asker.
func (a Asker) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	if rows, age, err := a.ask(ctx, id, lane.StatusCommand, maxAge, timeout); !isGateway(err) {
		return rows, age, err
	}
	return a.cfg.Statuses.Recent(ctx, id, maxAge, timeout)
}

// ask tries the gateways to a target; errUnreached if none of them can say.
func (a Asker) ask(ctx context.Context, id target.ID, ask lane.Command, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	for _, vm := range a.route(id, "") {
		if rows, age, err := a.askAt(ctx, vm, id, ask, maxAge, timeout); !isGateway(err) {
			return rows, age, err
		}
	}
	return nil, 0, errUnreached
}

// askAt asks through one gateway. Its silence is taken for its own, so that the
// question is asked elsewhere: repeating it, or an order, does no harm.
func (a Asker) askAt(ctx context.Context, vm catalog.VM, id target.ID, ask lane.Command, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	kind, term := ask.Encode()
	var out *relaypb.AskReply
	in := &relaypb.AskRequest{Target: string(id), TimeoutUs: micros(timeout), Kind: kind, Term: term, MaxAgeUs: uint64(micros(maxAge))}
	err := a.peers.call(ctx, vm, timeout+callSlack, false, func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Ask(ctx, in)
		return err
	})
	switch {
	case err != nil:
		return nil, 0, errUnreached
	case out.GetFailure() != nil:
		return nil, 0, failure(out.GetFailure(), id)
	case out.GetRefusedCode() != 0:
		return nil, 0, &lane.RefusedError{Target: id, Code: statement.Code(out.GetRefusedCode())}
	default:
		return out.GetRows(), duration(int64(out.GetAgeUs())), nil
	}
}

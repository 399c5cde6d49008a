package relay

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// ControlClient sends the fleet's own status queries and commands to targets. Where this VM has a
// gateway to a target, status queries go through it, so that the queries of each VM do not take
// connections that the gateways need for statements. Commands go directly to the target, and
// through a gateway if the target accepts no further connection.
type ControlClient struct{ *Router }

// Control implements groups.ControlClient.
//
// Failure guarded against: a target is saturated, so that the VMs consider a change of primary,
// and each VM of the fleet opens a connection to each target of the service for its status query.
// The connections take slots and saturate the target further.
func (a ControlClient) Control(ctx context.Context, id target.ID, cmd lane.Command, timeout time.Duration) ([]string, error) {
	if cmd == lane.StatusCommand {
		rows, _, err := a.Recent(ctx, id, 0, timeout)
		return rows, err
	}
	rows, err := a.cfg.Control.Control(ctx, id, cmd, timeout)
	var u *lane.UnavailableError
	if !errors.As(err, &u) || u.Code != statement.TooManyConnections || lane.Expired(ctx) {
		return rows, err
	}
	if rows, _, relayed := a.relay(ctx, id, cmd, 0, timeout); !isGateway(relayed) {
		return rows, relayed
	}
	return nil, err
}

// Recent implements groups.ControlClient.
func (a ControlClient) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	if rows, age, err := a.relay(ctx, id, lane.StatusCommand, maxAge, timeout); !isGateway(err) {
		return rows, age, err
	}
	return a.cfg.Statuses.Recent(ctx, id, maxAge, timeout)
}

// relay sends a command through the gateways to a target, one after another, until one of them
// reports a result of the target. The error is errUnreached if none does.
func (a ControlClient) relay(ctx context.Context, id target.ID, cmd lane.Command, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	for _, vm := range a.route(id, "") {
		if rows, age, err := a.relayThrough(ctx, vm, id, cmd, maxAge, timeout); !isGateway(err) {
			return rows, age, err
		}
	}
	return nil, 0, errUnreached
}

// relayThrough sends a command through one gateway. A missing reply counts as the gateway's
// failure and not the target's, so that the command is sent elsewhere: status queries and commands
// are safe to repeat.
func (a ControlClient) relayThrough(ctx context.Context, vm catalog.VM, id target.ID, cmd lane.Command, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	kind, term := cmd.Encode()
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
		a.recordBreak(id, out.GetBrokenUs())
		return out.GetRows(), duration(int64(out.GetAgeUs())), nil
	}
}

// recordBreak records that a connection between a gateway and a target broke, as a reply states. The
// time is not earlier than that of the break.
//
// Failure guarded against: a target restarts without its log or its pause. A VM that queries it through
// gateways has no connection to it that breaks, and trusts what it reported before.
func (r *Router) recordBreak(id target.ID, sinceUs uint64) {
	if sinceUs != 0 && r.cfg.Broken != nil {
		r.cfg.Broken(id, r.cfg.Clock.Now().Add(-duration(int64(min(sinceUs-1, math.MaxInt64)))))
	}
}

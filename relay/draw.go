package relay

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/ratelimit"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// drawTimeout bounds the wait for an owner's reply. It is longer than the requesting operation
// waits: a late reply serves the next operation, unless its tokens have expired.
const drawTimeout = 400 * time.Millisecond

// Draw requests tokens from a VM that owns a share of a workspace's limit.
func (r *Router) Draw(vm catalog.VM, workspace string, request ratelimit.Request) (ratelimit.Reply, error) {
	in := &relaypb.DrawRequest{
		Workspace: workspace, Want: uint32(request.Want),
		Demands: []*relaypb.Demand{{Priority: int32(request.Priority), Operations: uint32(request.Operations)}},
	}
	var out *relaypb.DrawReply
	err := r.peers.call(context.Background(), vm, drawTimeout, false, func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Draw(ctx, in)
		return err
	})
	if err != nil {
		return ratelimit.Reply{}, err
	}
	return replyOf(out, request), nil
}

func replyOf(out *relaypb.DrawReply, to ratelimit.Request) ratelimit.Reply {
	r := ratelimit.Reply{Tokens: int(out.GetTokens()), RetryAfter: duration(out.GetComeBackUs()), Interval: duration(out.GetIntervalUs())}
	return r.Bounded(to)
}

// Draw implements relaypb.Relay. A request that states no demands is from an older VM, and counts as
// of the lowest priority.
func (s *Server) Draw(_ context.Context, in *relaypb.DrawRequest) (*relaypb.DrawReply, error) {
	request := ratelimit.Request{Want: int(in.GetWant()), Priority: ratelimit.LowestPriority}
	for _, d := range in.GetDemands() {
		if int(d.GetPriority()) < request.Priority || request.Operations == 0 {
			request.Priority, request.Operations = int(d.GetPriority()), int(d.GetOperations())
		}
	}
	reply := s.cfg.Draw(in.GetWorkspace(), request)
	return &relaypb.DrawReply{Tokens: uint32(reply.Tokens), ComeBackUs: micros(reply.RetryAfter), IntervalUs: micros(reply.Interval)}, nil
}

// InBackoff reports whether a VM that did not reply is in backoff.
func (r *Router) InBackoff(vm catalog.VM) bool { return r.peers.inBackoff(vm.Peer) }

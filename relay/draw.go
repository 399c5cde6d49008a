package relay

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// drawTimeout bounds the wait for an owner's reply. It is longer than the requesting operation
// waits: a late reply serves the next operation, unless its tokens have expired.
const drawTimeout = 400 * time.Millisecond

// Draw requests tokens from a VM that owns a share of a workspace's limit.
func (r *Router) Draw(vm catalog.VM, workspace string, want int) (tokens int, retryAfter time.Duration, err error) {
	var out *relaypb.DrawReply
	err = r.peers.call(context.Background(), vm, drawTimeout, false, func(ctx context.Context, to relaypb.Relay) (err error) {
		out, err = to.Draw(ctx, &relaypb.DrawRequest{Workspace: workspace, Want: uint32(want)})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	return int(out.GetTokens()), duration(out.GetComeBackUs()), nil
}

// InBackoff reports whether a VM that did not reply is in backoff.
func (r *Router) InBackoff(vm catalog.VM) bool { return r.peers.inBackoff(vm.Peer) }

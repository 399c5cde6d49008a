package relay

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// drawTimeout bounds the wait for an owner's answer. Whoever asks does not wait so long:
// what comes late serves the next operation, if it has not lapsed.
const drawTimeout = 400 * time.Millisecond

// Draw asks an owner of a workspace's limit for tokens.
func (r *Router) Draw(vm catalog.VM, workspace string, want int) (tokens int, comeBack time.Duration, err error) {
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

// Rests reports whether a VM that did not answer is left alone for now.
func (r *Router) Rests(vm catalog.VM) bool { return r.peers.rests(vm.Peer) }

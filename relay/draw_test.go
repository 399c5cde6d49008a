package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/ratelimit"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// Failure guarded against: during an upgrade, requests of older VMs, which state no demands, get
// tokens before the urgent ones, or only one token each.
func TestDrawOfAnOlderVMCountsAsOfTheLowestPriority(t *testing.T) {
	var got ratelimit.Request
	s := NewServer(ServerConfig{Draw: func(_ string, r ratelimit.Request) ratelimit.Reply {
		got = r
		return ratelimit.Reply{Tokens: 2, RetryAfter: time.Millisecond, Interval: 2 * time.Millisecond}
	}})
	reply, err := s.Draw(context.Background(), &relaypb.DrawRequest{Workspace: "w", Want: 3})
	require.NoError(t, err)
	require.Equal(t, ratelimit.Request{Want: 3, Priority: ratelimit.LowestPriority}, got)
	require.Equal(t, []int64{2, 1000, 2000}, []int64{int64(reply.GetTokens()), reply.GetComeBackUs(), reply.GetIntervalUs()})
	_, err = s.Draw(context.Background(), &relaypb.DrawRequest{Workspace: "w", Want: 3, Demands: []*relaypb.Demand{{Priority: 2, Operations: 5}, {Priority: 1, Operations: 1}}})
	require.NoError(t, err)
	require.Equal(t, ratelimit.Request{Want: 3, Priority: 1, Operations: 1}, got)
}

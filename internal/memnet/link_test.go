package memnet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/bubble"
)

// Two senders share a receiver's link of 1 MB/s. Data of a connection that the receiver closes
// early must not delay the other sender.
func TestLinkOfAHostIsShared(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := New()
		n.SetRate("slow", 1_000_000)
		ln, err := n.Host("slow").Listen("slow:1")
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		send := func(host string) <-chan error {
			out, err := n.Host(host).DialContext(context.Background(), "", "slow:1")
			require.NoError(t, err)
			done := make(chan error, 1)
			go func() {
				_, err := out.Write(make([]byte, 500_000))
				_ = out.Close()
				done <- err
			}()
			return done
		}
		first, second := send("a"), send("b")
		x, err := ln.Accept()
		require.NoError(t, err)
		y, err := ln.Accept()
		require.NoError(t, err)
		start := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			_ = y.Close()
		}()
		got, err := io.ReadAll(x)
		require.NoError(t, err)
		require.Len(t, got, 500_000)
		require.InDelta(t, 0.6, time.Since(start).Seconds(), 0.03)
		require.NoError(t, <-first)
		require.Error(t, <-second)
	})
}

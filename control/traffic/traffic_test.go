package traffic

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// An operator compares a VM's control traffic with its limit. If only one end or one direction
// were counted, a VM that answers more calls than it makes would look idle.
func TestBothEndsCountBothDirections(t *testing.T) {
	m, err := NewMeter(prometheus.NewRegistry())
	require.NoError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	ln := m.Listen(Peers, inner)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(c, c, 5)
		_ = c.Close()
	}()
	c, err := m.Dial(Targets, &net.Dialer{})(context.Background(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	back, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "hello", string(back))
	for _, plane := range []string{Peers, Targets} {
		require.Equal(t, 5.0, testutil.ToFloat64(m.bytes.WithLabelValues(plane, "received")), plane)
		require.Equal(t, 5.0, testutil.ToFloat64(m.bytes.WithLabelValues(plane, "sent")), plane)
	}
}

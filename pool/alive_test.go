package pool

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: when a loaded machine sends slowly, the driver starts a background read
// so that neither end blocks. That read stays on the socket after the connection is idle again. If
// the liveness check waits for it, the BEGIN of the connection's next owner is never answered.
func TestLivenessCheckDoesNotBlockOnAConcurrentRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	local, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	remote, err := ln.Accept()
	require.NoError(t, err)
	read := make(chan struct{})
	go func() {
		_, _ = local.Read(make([]byte, 1))
		close(read)
	}()
	time.Sleep(50 * time.Millisecond)
	result := make(chan bool, 1)
	go func() { result <- socketAlive(local) }()
	select {
	case alive := <-result:
		require.True(t, alive)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the liveness check is blocked by the concurrent read")
	}
	require.NoError(t, remote.Close())
	<-read
	require.False(t, socketAlive(local), "the other end has closed the connection")
	require.NoError(t, local.Close())
}

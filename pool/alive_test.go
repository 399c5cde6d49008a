package pool

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A busy machine sends slowly, and the driver begins to read in the background so
// that neither end blocks. That read stays on the socket when the connection is
// idle again. Looking whether the connection lives must not wait for it: its next
// owner's BEGIN would never be answered.
func TestLookAtAConnectionThatIsBeingReadDoesNotBlock(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	ours, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	theirs, err := ln.Accept()
	require.NoError(t, err)
	read := make(chan struct{})
	go func() {
		_, _ = ours.Read(make([]byte, 1))
		close(read)
	}()
	time.Sleep(50 * time.Millisecond)
	looked := make(chan bool, 1)
	go func() { looked <- socketAlive(ours) }()
	select {
	case alive := <-looked:
		require.True(t, alive)
	case <-time.After(5 * time.Second):
		require.Fail(t, "blocked by the other reader")
	}
	require.NoError(t, theirs.Close())
	<-read
	require.False(t, socketAlive(ours), "it is closed at the other end")
	require.NoError(t, ours.Close())
}

package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
)

// Failure guarded against: a drain interrupts a statement that has arrived in part, and a statement is run
// that its caller has not sent.
func TestStatementInPartsDuringADrainDoesNotRun(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	text := "INSERT INTO passes (id, seat) VALUES ('a', 1)"
	message, err := (&pgproto3.Query{String: text + "; " + text}).Encode(nil)
	require.NoError(t, err)
	conn := c.PgConn().Conn()
	_, err = conn.Write(message[:len(text)+8])
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, r.Drain(context.Background()))
	// The session may be closed by now.
	_, _ = conn.Write(message[len(text)+8:])
	require.Zero(t, r.Sessions())
	require.Empty(t, cl.committed(0))
}

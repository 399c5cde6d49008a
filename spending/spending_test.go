package spending

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/logging"
)

// replyDialer returns connections whose peer reads five bytes and answers with three.
func replyDialer(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	go func() {
		var got [5]byte
		_, _ = io.ReadFull(there, got[:])
		_, _ = there.Write([]byte("abc"))
	}()
	return here, nil
}

func TestBytesAreCountedInBothDirectionsByPurposeAndReach(t *testing.T) {
	m := NewMeter(prometheus.NewRegistry())
	dial := m.Dial(Relay, replyDialer, func(addr string) Reach {
		if strings.HasPrefix(addr, "10.1.") {
			return SameZone
		}
		return CrossZone
	})
	for _, addr := range []string{"10.1.0.1:1", "10.2.0.1:1", "10.2.0.2:1"} {
		c, err := dial(context.Background(), "tcp", addr)
		require.NoError(t, err)
		_, err = c.Write([]byte("12345"))
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, 3))
		require.NoError(t, err)
	}
	require.Equal(t, int64(8), m.byteCounter(Relay, SameZone).n.Load())
	require.Equal(t, int64(16), m.byteCounter(Relay, CrossZone).n.Load())
}

// selfCheckedConn is a connection that implements idleChecker.
type selfCheckedConn struct{ net.Conn }

func (selfCheckedConn) Idle() bool { return false }

// Failure guarded against: counting hides the interfaces by which a pool checks an idle connection
// before it reuses it.
func TestCountedConnectionsKeepTheirChecks(t *testing.T) {
	c, ok := countBytes(selfCheckedConn{}, &total{}).(idleChecker)
	require.True(t, ok)
	require.False(t, c.Idle())
	_, ok = countBytes(&net.TCPConn{}, &total{}).(syscall.Conn)
	require.True(t, ok)
	_, ok = countBytes(&net.TCPConn{}, &total{}).(idleChecker)
	require.False(t, ok)
}

// lines returns the log lines of a VM that reports its counts twice.
func lines(t *testing.T, vm, zone, incarnation string, spend func(m *Meter)) string {
	t.Helper()
	var out bytes.Buffer
	m := NewMeter(prometheus.NewRegistry())
	log := logging.New(&out, zap.NewAtomicLevel()).With(zap.String("vm", vm), zap.String("zone", zone))
	for range 2 {
		spend(m)
		log.Info(Event, append([]zap.Field{zap.String("incarnation", incarnation)}, m.Fields()...)...)
	}
	return out.String()
}

// A VM restarts within the logged time. The counts of both incarnations belong to the VM, and only
// the last line of each incarnation counts.
func TestAccountSumsProcessesAndVMs(t *testing.T) {
	log := "nothing of ours\n" +
		lines(t, "a", "east", "a-1", func(m *Meter) { m.RecordQuery(Witness); m.RecordCall("ours", "watch") }) +
		lines(t, "a", "east", "a-2", func(m *Meter) { m.RecordQuery(Witness) }) +
		lines(t, "b", "west", "b-1", func(m *Meter) { m.RecordQuery(Witness); m.RecordQuery(Witness); m.RecordQuery(Witness) })
	summary := NewSummary()
	require.NoError(t, summary.Read(strings.NewReader(log)))
	require.Equal(t, []Row{
		{Family: Calls, Name: "ours", Detail: "watch", VMs: 1, Total: 2, Most: 2, MostAt: "a"},
		{Family: Queries, Name: "witness", VMs: 2, Total: 10, Most: 6, MostAt: "b"},
	}, summary.Rows(false))
	rows := summary.Rows(true)
	require.Len(t, rows, 3)
	require.Equal(t, Row{Family: Queries, Name: "witness", Zone: "west", VMs: 1, Total: 6, Most: 6, MostAt: "b"}, rows[1])
}

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

// sink is a network whose peers read everything and answer three bytes.
func sink(context.Context, string, string) (net.Conn, error) {
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
	dial := m.Dial(Relay, sink, func(addr string) Reach {
		if strings.HasPrefix(addr, "10.1.") {
			return Near
		}
		return Far
	})
	for _, addr := range []string{"10.1.0.1:1", "10.2.0.1:1", "10.2.0.2:1"} {
		c, err := dial(context.Background(), "tcp", addr)
		require.NoError(t, err)
		_, err = c.Write([]byte("12345"))
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, 3))
		require.NoError(t, err)
	}
	require.Equal(t, int64(8), m.byteCounter(Relay, Near).n.Load())
	require.Equal(t, int64(16), m.byteCounter(Relay, Far).n.Load())
}

// checked is a connection that knows by itself whether it is idle.
type checked struct{ net.Conn }

func (checked) Idle() bool { return false }

// A pool checks idle connections before it uses them again. Counting must not
// hide what it checks by.
func TestCountedConnectionsKeepTheirChecks(t *testing.T) {
	c, ok := count(checked{}, &total{}).(idler)
	require.True(t, ok)
	require.False(t, c.Idle())
	_, ok = count(&net.TCPConn{}, &total{}).(syscall.Conn)
	require.True(t, ok)
	_, ok = count(&net.TCPConn{}, &total{}).(idler)
	require.False(t, ok)
}

// lines is what VMs log of their spending.
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

// A VM was started again in the middle of the day: the counts of both of its
// processes belong to it, and of each only the last line counts.
func TestAccountSumsProcessesAndVMs(t *testing.T) {
	log := "nothing of ours\n" +
		lines(t, "a", "east", "a-1", func(m *Meter) { m.Asked(Witness); m.Called("ours", "watch") }) +
		lines(t, "a", "east", "a-2", func(m *Meter) { m.Asked(Witness) }) +
		lines(t, "b", "west", "b-1", func(m *Meter) { m.Asked(Witness); m.Asked(Witness); m.Asked(Witness) })
	account := NewAccount()
	require.NoError(t, account.Read(strings.NewReader(log)))
	require.Equal(t, []Row{
		{Family: Calls, Name: "ours", Detail: "watch", VMs: 1, Total: 2, Most: 2, MostAt: "a"},
		{Family: Questions, Name: "witness", VMs: 2, Total: 10, Most: 6, MostAt: "b"},
	}, account.Rows(false))
	rows := account.Rows(true)
	require.Len(t, rows, 3)
	require.Equal(t, Row{Family: Questions, Name: "witness", Zone: "west", VMs: 1, Total: 6, Most: 6, MostAt: "b"}, rows[1])
}

package peer

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/control/traffic"
	"endivemoor.example/endivemoor/peer/peerpb"
)

// BenchmarkExchange measures the cost of one exchange to the calling VM over mutual TLS, in time
// and in bytes in both directions: over a reused connection, and with a new connection, as for a
// partner that is one of thousands.
func BenchmarkExchange(b *testing.B) {
	for _, reused := range []bool{true, false} {
		name := map[bool]string{true: "reused", false: "opened"}[reused]
		b.Run(name, func(b *testing.B) { benchExchange(b, reused) })
	}
}

func benchExchange(b *testing.B, reused bool) {
	fleet := newAuthority(b)
	addr := serve(b, &countingHandler{}, fleet.config(b))
	metrics := prometheus.NewRegistry()
	meter, err := traffic.NewMeter(metrics)
	require.NoError(b, err)
	clients := NewClients(fleet.config(b))
	clients.DialBy(meter.Dial(traffic.Peers, Dialer()))
	req := &peerpb.ExchangeRequest{Sender: &peerpb.Member{Vm: "p1", Zone: "z1", Addr: "127.0.0.1:1", Incarnation: 1 << 60}}
	for b.Loop() {
		_, err := clients.At(addr).Exchange(context.Background(), req)
		require.NoError(b, err)
		if !reused {
			clients.transport.CloseIdleConnections()
		}
	}
	b.ReportMetric(total(b, metrics)/float64(b.N), "B/exchange")
}

func total(b *testing.B, g prometheus.Gatherer) (sum float64) {
	families, err := g.Gather()
	require.NoError(b, err)
	for _, m := range families[0].GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

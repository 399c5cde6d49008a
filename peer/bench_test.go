package peer

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/control/traffic"
	"endivemoor.example/endivemoor/peer/peerpb"
)

// BenchmarkExchange shows what one exchange costs the caller over mutual TLS, in
// time and in bytes both ways: over a kept connection, and when the partner is
// one of thousands and a connection has to be opened for it.
func BenchmarkExchange(b *testing.B) {
	for _, kept := range []bool{true, false} {
		name := map[bool]string{true: "kept", false: "opened"}[kept]
		b.Run(name, func(b *testing.B) { benchExchange(b, kept) })
	}
}

func benchExchange(b *testing.B, kept bool) {
	fleet := newAuthority(b)
	addr := serve(b, &echo{}, fleet.config(b))
	metrics := prometheus.NewRegistry()
	meter, err := traffic.NewMeter(metrics)
	require.NoError(b, err)
	clients := NewClients(fleet.config(b))
	clients.DialBy(meter.Dial(traffic.Peers, Dialer()))
	req := &peerpb.ExchangeRequest{Sender: &peerpb.Member{Vm: "p1", Zone: "z1", Addr: "127.0.0.1:1", Incarnation: 1 << 60}}
	for b.Loop() {
		_, err := clients.At(addr).Exchange(context.Background(), req)
		require.NoError(b, err)
		if !kept {
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

package proxy

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/admission/limiter"
	"endivemoor.example/endivemoor/internal/standin/dbd"
)

const (
	benchRead  = "/*endivemoor kind=balance*/ SELECT seat FROM passes WHERE id = 'p'"
	benchWrite = "/*endivemoor kind=note*/ UPDATE passes SET seat = 1 WHERE id = 'p'"
)

// BenchmarkThroughProxy compares the proxy with a direct connection in the same run, so that load
// on the machine slows both. It reports the p50 of each in microseconds, and their ratio.
func BenchmarkThroughProxy(b *testing.B) {
	for _, bench := range []struct {
		name, sql string
		callers   int
	}{
		{"read/1", benchRead, 1}, {"read/25", benchRead, 25},
		{"write/1", benchWrite, 1}, {"write/25", benchWrite, 25},
		{"read/1000", benchRead, 1000},
	} {
		b.Run(bench.name, func(b *testing.B) { compare(b, bench.sql, bench.callers) })
	}
}

func compare(b *testing.B, sql string, callers int) {
	cl := startCluster(b, dbd.Options{Connections: 1100})
	r := startProxy(b, cl, func(c *Config) {
		c.Limiter = limiter.New(limiter.Config{Queue: admission.Config{MaxQueued: 2 * callers}, Clock: cl.clk})
	})
	direct := fmt.Sprintf("postgres://app@%s/ledger?sslmode=disable", cl.servers[0].Addr())
	exec(b, r.connect(b), "INSERT INTO passes (id, seat) VALUES ('p', 1)")
	cl.caughtUp(b)
	r.observe()
	run(b, direct, sql, callers, 20)
	run(b, r.dsn(""), sql, callers, 20)
	b.ResetTimer()
	directP50 := run(b, direct, sql, callers, b.N)
	proxyP50 := run(b, r.dsn(""), sql, callers, b.N)
	b.ReportMetric(directP50, "direct-p50-us")
	b.ReportMetric(proxyP50, "proxy-p50-us")
	b.ReportMetric(proxyP50/directP50, "ratio")
}

// run sends n statements over each of several connections and returns the p50 in microseconds.
func run(b *testing.B, dsn, sql string, callers, n int) float64 {
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var conns []*pgx.Conn
	for range callers {
		c, err := pgx.Connect(context.Background(), dsn)
		require.NoError(b, err)
		defer func() { _ = c.Close(context.Background()) }()
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() {
			for range n {
				start := time.Now()
				if _, err := c.Exec(context.Background(), sql); err != nil {
					b.Error(err)
					return
				}
				took := time.Since(start)
				mu.Lock()
				_ = h.RecordValue(int64(took))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(h.ValueAtQuantile(50)) / float64(time.Microsecond)
}

// BenchmarkIdleSession reports the memory of an idle caller, as the slope between two numbers of
// callers.
func BenchmarkIdleSession(b *testing.B) {
	const few, many = 100, 600
	r := startProxy(b, startCluster(b, dbd.Options{}))
	for b.Loop() {
		small := r.heapWith(b, few)
		large := r.heapWith(b, many)
		b.ReportMetric(float64(large-small)/float64(many-few), "B/session")
	}
}

// heapWith returns the memory in use, including stacks, while n callers that have run a statement
// are idle.
func (r *rig) heapWith(b *testing.B, n int) int64 {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
		require.Eventually(b, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
	}()
	for range n {
		c, err := pgx.Connect(context.Background(), r.dsn(""))
		require.NoError(b, err)
		exec(b, c, "/*endivemoor kind=balance*/ SELECT 1")
		h, err := c.PgConn().Hijack()
		require.NoError(b, err)
		conns = append(conns, h.Conn)
	}
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

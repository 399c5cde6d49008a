// Package load implements the commands of endivemoor-load, which generate load on running daemons
// and measure them. Its load generator, Compare, is a closed loop for any PostgreSQL endpoint: a
// number of callers, each with one connection, send one request after the other. Latencies are
// recorded in HDR histograms. Compare alternates between two endpoints within one run, so that
// changes in the speed of the machine cancel out. The commands start and stop no process.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

const (
	minLatency         = int64(time.Microsecond)
	maxLatency         = int64(time.Minute)
	latencyDigits      = 3
	maxConcurrentOpens = 32
)

// Endpoint is a server or daemon that receives requests.
type Endpoint struct {
	Name string
	// URL is a PostgreSQL connection string.
	URL string
	// Params are startup parameters, such as endivemoor.profile.
	Params map[string]string
}

// Request is one statement with one text argument made from a sequence number.
type Request struct {
	SQL string
	// Arg returns the argument of the n-th request of a caller; nil means no argument.
	Arg func(caller, n int) string
}

// Result is the measurement of one endpoint.
type Result struct {
	Endpoint string
	Callers  int
	Done     int64
	Failed   int64
	// FirstError is the text of one of the failures.
	FirstError string
	Elapsed    time.Duration
	Latency    *hdrhistogram.Histogram
}

// Quantile returns the latency at q percent.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q))
}

// PerSecond returns the number of successful requests per second.
func (r Result) PerSecond() float64 { return float64(r.Done) / r.Elapsed.Seconds() }

// add merges the result of another round of the same endpoint.
func (r *Result) add(o Result) {
	r.Done += o.Done
	r.Failed += o.Failed
	r.Elapsed += o.Elapsed
	r.Latency.Merge(o.Latency)
	if r.FirstError == "" {
		r.FirstError = o.FirstError
	}
}

func newResult(endpoint string, callers int) Result {
	return Result{Endpoint: endpoint, Callers: callers, Latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// callerGroup holds the open connections of one endpoint's callers.
type callerGroup struct {
	endpoint Endpoint
	conns    []*pgx.Conn
}

// openCallers opens the callers' connections, up to maxConcurrentOpens at once.
func openCallers(ctx context.Context, e Endpoint, callers int) (*callerGroup, error) {
	c := &callerGroup{endpoint: e, conns: make([]*pgx.Conn, callers)}
	errs := make(chan error, callers)
	slots := make(chan struct{}, maxConcurrentOpens)
	for i := range callers {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			conn, err := connect(ctx, e)
			c.conns[i] = conn
			errs <- err
		}()
	}
	var first error
	for range callers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return c, errors.Wrap(first, e.Name)
}

func connect(ctx context.Context, e Endpoint) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(e.URL)
	if err != nil {
		return nil, err
	}
	for k, v := range e.Params {
		cfg.RuntimeParams[k] = v
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	return pgx.ConnectConfig(ctx, cfg)
}

func (c *callerGroup) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}
}

// run sends requests from all callers for the duration d.
func (c *callerGroup) run(ctx context.Context, req Request, d time.Duration) Result {
	total := newResult(c.endpoint.Name, len(c.conns))
	begin := time.Now()
	end := begin.Add(d)
	results := make(chan Result, len(c.conns))
	var wg sync.WaitGroup
	for i, conn := range c.conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- runCaller(ctx, conn, i, req, end)
		}()
	}
	wg.Wait()
	close(results)
	for r := range results {
		total.add(r)
	}
	total.Elapsed = time.Since(begin)
	return total
}

func runCaller(ctx context.Context, conn *pgx.Conn, id int, req Request, end time.Time) Result {
	r := newResult("", 1)
	for n := 0; time.Now().Before(end); n++ {
		begin := time.Now()
		err := sendRequest(ctx, conn, id, n, req)
		_ = r.Latency.RecordValue(time.Since(begin).Nanoseconds())
		if err != nil {
			r.Failed++
			r.FirstError = err.Error()
			if conn.IsClosed() {
				return r
			}
			continue
		}
		r.Done++
	}
	return r
}

func sendRequest(ctx context.Context, conn *pgx.Conn, id, n int, req Request) error {
	var args []any
	if req.Arg != nil {
		args = append(args, req.Arg(id, n))
	}
	rows, err := conn.Query(ctx, req.SQL, args...)
	if err != nil {
		return err
	}
	rows.Close()
	return rows.Err()
}

// Compare runs the requests of both endpoints in alternating rounds and returns both results. A
// first short round of each endpoint is for warm-up and is not counted.
func Compare(ctx context.Context, endpoints [2]Endpoint, reqs [2]Request, callers, rounds int, each time.Duration) ([2]Result, error) {
	var out [2]Result
	var groups [2]*callerGroup
	for i, e := range endpoints {
		c, err := openCallers(ctx, e, callers)
		defer c.close()
		if err != nil {
			return out, err
		}
		c.run(ctx, reqs[i], each/4)
		groups[i] = c
		out[i] = newResult(e.Name, callers)
	}
	for range rounds {
		for i, c := range groups {
			out[i].add(c.run(ctx, reqs[i], each))
		}
	}
	return out, nil
}

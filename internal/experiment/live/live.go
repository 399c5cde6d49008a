// Package live measures replica reads on running daemons: the share of reads that replicas serve,
// and whether a session that reconnects to another daemon with its token reads its own last write.
// Run is the measurement; it starts and stops no daemon.
package live

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/internal/experiment/report"
)

// Config describes the daemons and the load.
type Config struct {
	// URLs are callers' connection strings, one for each daemon.
	URLs []string
	// Metrics are the daemons' metrics pages, in the same order.
	Metrics []string
	// Reads is the total number of reads.
	Reads int
	Seed  uint64
}

const (
	workers = 16
	// ownWriteShare is the share of reads by a session that wrote thinkTime ago.
	ownWriteShare = 0.05
	thinkTime     = 50 * time.Millisecond
	// tokenParameter carries the session token in both directions.
	tokenParameter = "endivemoor.session"
	readsMetric    = "endivemoor_reads_total"
)

// tally accumulates the results of all callers.
type tally struct {
	mu                        sync.Mutex
	plain, own                *hdrhistogram.Histogram
	ownReads, ownWritesMissed int
	failed, answered          int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// Run reads and writes through the daemons and prints the results.
func Run(out io.Writer, c Config) error {
	before, err := c.served()
	if err != nil {
		return err
	}
	t := &tally{plain: newHistogram(), own: newHistogram()}
	var group errgroup.Group
	for i := range workers {
		group.Go(func() error {
			w := worker{c: c, t: t, id: i, rnd: rand.New(rand.NewPCG(c.Seed, uint64(i)))}
			return w.run(c.Reads / workers)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := c.served()
	if err != nil {
		return err
	}
	return t.print(out, after["replica"]-before["replica"], after["primary"]-before["primary"])
}

func (t *tally) print(out io.Writer, replica, primary float64) error {
	table := report.Table{
		Title: "Reads through running daemons",
		Header: []string{"reads", "by replicas", "failed", "after own write", "own write unread",
			"p50", "p99", "p50 after own write", "p99"},
	}
	table.Add(t.answered+t.failed, report.Percent(replica/max(replica+primary, 1)), t.failed, t.ownReads, t.ownWritesMissed,
		quantile(t.plain, 50), quantile(t.plain, 99), quantile(t.own, 50), quantile(t.own, 99))
	return table.Print(out)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// worker is one caller with a connection to each daemon.
type worker struct {
	c     Config
	t     *tally
	id    int
	rnd   *rand.Rand
	conns []*pgconn.PgConn
	wrote int
}

func (w *worker) run(reads int) error {
	defer func() {
		for _, conn := range w.conns {
			_ = conn.Close(context.Background())
		}
	}()
	for _, u := range w.c.URLs {
		conn, err := pgconn.Connect(context.Background(), u)
		if err != nil {
			return errors.Wrap(err, "connect to a daemon")
		}
		w.conns = append(w.conns, conn)
	}
	for range reads {
		if w.rnd.Float64() >= ownWriteShare {
			w.plainRead()
			continue
		}
		if err := w.ownRead(); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) plainRead() {
	conn := w.conns[w.rnd.IntN(len(w.conns))]
	start := time.Now()
	_, err := conn.Exec(context.Background(), "/*endivemoor kind=balance*/ SELECT id FROM passes LIMIT 1").ReadAll()
	w.t.add(w.t.plain, time.Since(start), err)
}

func (t *tally) add(h *hdrhistogram.Histogram, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		return
	}
	t.answered++
	_ = h.RecordValue(min(took.Microseconds(), h.HighestTrackableValue()))
}

// ownRead writes a row through one daemon, reconnects to another daemon with the session's token
// and reads the row.
func (w *worker) ownRead() error {
	w.wrote++
	id := fmt.Sprintf("live-%d-%d-%d-%d", w.c.Seed, time.Now().UnixNano(), w.id, w.wrote)
	from := w.rnd.IntN(len(w.conns))
	insert := fmt.Sprintf("/*endivemoor kind=purchase&key=%s*/ INSERT INTO passes VALUES ('%s', 'EI1', '5')", id, id)
	if _, err := w.conns[from].Exec(context.Background(), insert).ReadAll(); err != nil {
		return errors.Wrap(err, "insert pass")
	}
	token := w.conns[from].ParameterStatus(tokenParameter)
	time.Sleep(time.Duration(w.rnd.ExpFloat64() * float64(thinkTime)))
	conn, err := w.reconnect((from+1)%len(w.conns), token)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.Background()) }()
	start := time.Now()
	results, err := conn.Exec(context.Background(), fmt.Sprintf("/*endivemoor kind=balance*/ SELECT id FROM passes WHERE id = '%s'", id)).ReadAll()
	w.t.add(w.t.own, time.Since(start), err)
	w.t.recordOwnRead(err == nil && len(results) == 1 && len(results[0].Rows) == 1, err)
	return nil
}

func (t *tally) recordOwnRead(found bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownReads++
	if err == nil && !found {
		t.ownWritesMissed++
	}
}

func (w *worker) reconnect(to int, token string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(w.c.URLs[to])
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string of a daemon")
	}
	cfg.RuntimeParams[tokenParameter] = token
	conn, err := pgconn.ConnectConfig(context.Background(), cfg)
	return conn, errors.Wrap(err, "reconnect with session token")
}

// served returns the number of reads by the role of the server that served them, over all daemons.
func (c Config) served() (map[string]float64, error) {
	sum := make(map[string]float64)
	for _, page := range c.Metrics {
		if err := addServed(sum, page); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

func addServed(sum map[string]float64, page string) error {
	resp, err := http.Get(page)
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return errors.Wrap(err, "parse metrics")
	}
	for _, m := range families[readsMetric].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == "served_by" {
				sum[l.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	return nil
}

package reads

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/internal/experiment/report"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/target"
)

// Scenario is a change of a world while it runs, such as a fault, and the reversal of the change.
type Scenario struct {
	Name string
	// set is called when faultAt of the measured time has passed, reset faultDuration later.
	set, reset func(w *world)
}

const (
	faultAt       = 15 * time.Second
	faultDuration = 25 * time.Second
)

func inject(id string, f fault) Scenario {
	at := target.ID(id)
	return Scenario{
		set:   func(w *world) { w.servers[at].fault = f },
		reset: func(w *world) { w.servers[at].fault = faultNone },
	}
}

func lagging(mean time.Duration, servers ...string) Scenario {
	move := func(to time.Duration) func(w *world) {
		return func(w *world) {
			for _, id := range servers {
				r := w.replications[target.ID(id)]
				r.mean, r.lag = to, to
			}
		}
	}
	return Scenario{set: move(mean), reset: move(Typical)}
}

func (s Scenario) named(name string) Scenario {
	s.Name = name
	return s
}

// Scenarios returns the scenarios under which the policies are compared.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", set: func(*world) {}, reset: func(*world) {}},
		lagging(3*time.Second, "b").named("one replica 3 s behind"),
		lagging(12*time.Second, "b", "c").named("both replicas 12 s behind"),
		inject("b", faultSlow).named("replica slow"),
		inject("b", faultUnresponsive).named("replica silent"),
		inject("b", faultFailing).named("replica failing fast"),
		{Name: "a zone cut off with the old primary", set: (*world).isolatePrimary, reset: (*world).heal},
	}
}

// Run runs one scenario with one setup.
func Run(sc Scenario, setup Setup) Tally {
	w := newWorld(setup)
	w.start()
	w.s.Run(warmUp)
	w.recording = true
	primary := w.servers[w.group.Primary]
	busy := primary.busy
	w.s.After(faultAt, func() { sc.set(w) })
	w.s.After(faultAt+faultDuration, func() { sc.reset(w) })
	w.s.Run(measuredFor)
	used := primary.busy - busy
	w.tally.PrimaryBusy = float64(used) / float64(slots*measuredFor)
	return w.tally
}

// RunSeeds runs seeds 1 to n, up to parallel at once, and adds up their tallies.
func RunSeeds(sc Scenario, setup Setup, n, parallel int) Tally {
	all := make([]Tally, n)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range n {
		group.Go(func() error {
			one := setup
			one.Seed = uint64(i + 1)
			all[i] = Run(sc, one)
			return nil
		})
	}
	_ = group.Wait()
	sum := Tally{ReadLatency: newHistogram(), WriteLatency: newHistogram()}
	for i := range all {
		sum.add(&all[i], n)
	}
	return sum
}

func (t *Tally) add(o *Tally, n int) {
	t.Reads += o.Reads
	t.ByReplica += o.ByReplica
	t.ByPrimary += o.ByPrimary
	t.Failed += o.Failed
	t.Stale += o.Stale
	t.OwnWritesMissed += o.OwnWritesMissed
	t.Writes += o.Writes
	t.ReadLatency.Merge(o.ReadLatency)
	t.WriteLatency.Merge(o.WriteLatency)
	t.PrimaryBusy += o.PrimaryBusy / float64(n)
}

// Share returns the share of all reads that replicas served.
func (t *Tally) Share() float64 { return float64(t.ByReplica) / float64(max(t.Reads, 1)) }

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Compare prints a table for each scenario whose name contains only.
func Compare(out io.Writer, only string, seeds, parallel int) error {
	for _, sc := range Scenarios() {
		if !strings.Contains(sc.Name, only) {
			continue
		}
		table := report.Table{
			Title: "Reads: " + sc.Name,
			Header: []string{"policy", "by replicas", "failed", "stale", "own write unread",
				"read p50", "read p95", "read p99", "write p99", "primary busy"},
		}
		for _, p := range Policies() {
			t := RunSeeds(sc, Setup{Policy: p, Lag: Typical}, seeds, parallel)
			table.Add(p.Name(), report.Percent(t.Share()), report.Percent(t.failedShare()),
				t.Stale, t.OwnWritesMissed,
				quantile(t.ReadLatency, 50), quantile(t.ReadLatency, 95), quantile(t.ReadLatency, 99),
				quantile(t.WriteLatency, 99), report.Percent(t.PrimaryBusy))
		}
		if err := table.Print(out); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tally) failedShare() float64 { return float64(t.Failed) / float64(max(t.Reads, 1)) }

// lags are the usual replica lags of the sweep.
var lags = []time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// waitShares are the values of EvidencePolicy.WaitShare in the sweep: no wait, and a wait of up to an
// eighth, a sixth and a quarter of the deadline.
var waitShares = []int{-1, 8, 6, 4}

// Sweep prints the share of reads that replicas served and the latency by the usual lag, for
// several bounds of the wait, and saves a plot of the share.
func Sweep(out io.Writer, plotPath string, seeds, parallel int) error {
	table := report.Table{
		Title:  "Reads: usual lag against the bound of the wait",
		Header: []string{"wait up to", "lag", "by replicas", "read p50", "read p95", "read p99", "primary busy"},
	}
	drawing := report.Plot{Title: "Reads served by replicas", X: "usual lag, ms", Y: "share, %"}
	for _, ws := range waitShares {
		series := report.Series{Name: waitName(ws)}
		for _, lag := range lags {
			t := RunSeeds(Scenarios()[0], Setup{Policy: routing.EvidencePolicy{WaitShare: ws}, Lag: lag}, seeds, parallel)
			table.Add(series.Name, lag, report.Percent(t.Share()), quantile(t.ReadLatency, 50),
				quantile(t.ReadLatency, 95), quantile(t.ReadLatency, 99), report.Percent(t.PrimaryBusy))
			series.X = append(series.X, float64(lag/time.Millisecond))
			series.Y = append(series.Y, 100*t.Share())
		}
		drawing.Series = append(drawing.Series, series)
	}
	if err := table.Print(out); err != nil {
		return err
	}
	return drawing.Save(plotPath)
}

func waitName(waitShare int) string {
	if waitShare < 0 {
		return "no wait"
	}
	return fmt.Sprintf("deadline/%d", waitShare)
}

package failover

import (
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/internal/experiment/report"
	"endivemoor.example/endivemoor/scenario"
)

// tally accumulates the samples of one gate under one fault.
type tally struct {
	mu            sync.Mutex
	gap, gated    *hdrhistogram.Histogram
	unknown, done int
	lostConfirmed int
	lostOther     int
	promotions    int
	notServed     int
	findings      int
}

const (
	// digits is the number of significant digits of the histograms.
	digits = 3
	// maxRecorded is the longest time that the histograms can record.
	maxRecorded = time.Minute
)

func newTally() *tally {
	return &tally{
		gap:   hdrhistogram.New(1, maxRecorded.Microseconds(), digits),
		gated: hdrhistogram.New(1, maxRecorded.Microseconds(), digits),
	}
}

func (t *tally) add(s scenario.Sample) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.gap.RecordValue(s.Gap.Microseconds()); err != nil {
		return err
	}
	for _, d := range s.AckWaits {
		if err := t.gated.RecordValue(d.Microseconds()); err != nil {
			return err
		}
	}
	t.done += s.Done
	t.unknown += s.Unknown
	t.lostConfirmed += s.LostConfirmed
	t.lostOther += s.LostOther
	t.promotions += s.Promotions
	t.findings += len(s.Findings)
	if !s.Served {
		t.notServed++
	}
	return nil
}

// play runs a trial with seeds 1 to n.
func play(trial scenario.Trial, n, parallel int) (*tally, error) {
	t := newTally()
	var group errgroup.Group
	group.SetLimit(parallel)
	for seed := range n {
		group.Go(func() error {
			s, err := trial.Run(uint64(seed + 1))
			if err != nil {
				return err
			}
			return t.add(s)
		})
	}
	return t, group.Wait()
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Compare prints the results of all gates under each fault.
func Compare(out io.Writer, seeds, parallel int) error {
	table := report.Table{
		Title: "Gates under a failing primary",
		Header: []string{
			"fault", "gate", "gap p50", "gap p99", "gap max", "wait p50", "wait p99",
			"done", "unknown", "lost confirmed", "lost other", "promotions/run", "not served", "findings",
		},
	}
	for _, f := range faultCases {
		for _, g := range gateCases {
			t, err := play(f.trial(g), seeds, parallel)
			if err != nil {
				return err
			}
			table.Add(f.name, g.name, quantile(t.gap, 50), quantile(t.gap, 99), quantile(t.gap, 100),
				quantile(t.gated, 50), quantile(t.gated, 99), t.done, t.unknown,
				t.lostConfirmed, t.lostOther, float64(t.promotions)/float64(seeds), t.notServed, t.findings)
		}
	}
	return table.Print(out)
}

// heartbeats are the compared heartbeat intervals.
var heartbeats = []time.Duration{
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// Heartbeats prints the failover gap by heartbeat interval.
func Heartbeats(out io.Writer, seeds, parallel int) error {
	table := report.Table{
		Title:  "Gap by heartbeat, gate confirm+witness",
		Header: []string{"fault", "heartbeat", "gap p50", "gap p99", "gap max", "promotions/run", "not served"},
	}
	for _, f := range faultCases[:3] {
		for _, h := range heartbeats {
			trial := f.trial(standardGate)
			trial.Heartbeat = h
			t, err := play(trial, seeds, parallel)
			if err != nil {
				return err
			}
			table.Add(f.name, h, quantile(t.gap, 50), quantile(t.gap, 99), quantile(t.gap, 100),
				float64(t.promotions)/float64(seeds), t.notServed)
		}
	}
	return table.Print(out)
}

// lossLength is how long heartbeats are dropped in a run.
const lossLength = 60 * time.Second

// FalsePromotions prints the number of promotions that replace a healthy primary, by the share of
// lost heartbeats.
func FalsePromotions(out io.Writer, seeds, parallel int) error {
	runs := max(1, seeds/10)
	table := report.Table{
		Title:  "False promotions under lost heartbeats",
		Header: []string{"heartbeats lost", "runs of 60 s", "promotions", "gap max", "unknown"},
	}
	for _, loss := range []float64{0, 0.05, 0.1, 0.2, 0.3, 0.5} {
		trial := scenario.Trial{Gate: standardGate.gate, Confirmed: confirmedShare, ProbeLoss: loss, Length: lossLength}
		t, err := play(trial, runs, parallel)
		if err != nil {
			return err
		}
		table.Add(report.Percent(loss), runs, t.promotions, quantile(t.gap, 100), t.unknown)
	}
	return table.Print(out)
}

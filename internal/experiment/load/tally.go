package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windows is the number of one-second windows of the run.
const windows = int(duration / time.Second)

// classTally accumulates the results of one class.
type classTally struct {
	Offered, Served int
	Latency         *hdrhistogram.Histogram
	offered, served [windows]int
}

// Tally accumulates the results of one or more runs.
type Tally struct {
	Classes []classTally
	// Requests is the number of requests that callers made during the outage, including their
	// retries, and Attempts the number of statements sent to the target during it.
	Requests, Attempts int
	// Failed is the number of submissions that were not served in time.
	Failed int
	runs   int
}

func newTally() *Tally {
	t := &Tally{Classes: make([]classTally, len(classes)), runs: 1}
	for i := range t.Classes {
		t.Classes[i].Latency = newHistogram()
	}
	return t
}

func window(at time.Duration) int { return min(int(at/time.Second), windows-1) }

func inOutage(at time.Duration) bool { return at >= outageFrom && at < outageTo }

func (t *Tally) request(at time.Duration) {
	if inOutage(at) {
		t.Requests++
	}
}

func (t *Tally) attempt(at time.Duration) {
	if inOutage(at) {
		t.Attempts++
	}
}

func (t *Tally) offered(c int, at time.Duration) {
	t.Classes[c].Offered++
	t.Classes[c].offered[window(at)]++
}

func (t *Tally) served(c int, at time.Duration, latency time.Duration) {
	x := &t.Classes[c]
	x.Served++
	x.served[window(at)]++
	_ = x.Latency.RecordValue(min(latency.Microseconds(), x.Latency.HighestTrackableValue()))
}

func (t *Tally) add(o *Tally) {
	t.Requests += o.Requests
	t.Attempts += o.Attempts
	t.Failed += o.Failed
	t.runs += o.runs
	for c := range t.Classes {
		x, y := &t.Classes[c], &o.Classes[c]
		x.Offered += y.Offered
		x.Served += y.Served
		x.Latency.Merge(y.Latency)
		for i := range windows {
			x.offered[i] += y.offered[i]
			x.served[i] += y.served[i]
		}
	}
}

// Worth returns the share of the offered worth that was served in time.
func (t *Tally) Worth() float64 {
	var served, offered float64
	for c := range t.Classes {
		served += classes[c].kind.Worth * float64(t.Classes[c].Served)
		offered += classes[c].kind.Worth * float64(t.Classes[c].Offered)
	}
	return served / offered
}

// Share returns the share of a class's requests that were served in time.
func (t *Tally) Share(c int) float64 {
	return float64(t.Classes[c].Served) / float64(max(t.Classes[c].Offered, 1))
}

// P99 returns the 99th percentile of the latency of the class's requests that were served in time.
func (t *Tally) P99(c int) time.Duration {
	return time.Duration(t.Classes[c].Latency.ValueAtQuantile(99)) * time.Microsecond
}

// Worst returns the lowest share of a class's requests served in time within one second of the run,
// over all seeds, and the class. A share near zero means that the class starved.
func (t *Tally) Worst() (share float64, class int) {
	share = math.Inf(1)
	for c := range t.Classes {
		x := &t.Classes[c]
		for i := 1; i < windows-1; i++ {
			if x.offered[i] == 0 {
				continue
			}
			if s := float64(x.served[i]) / float64(x.offered[i]); s < share {
				share, class = s, c
			}
		}
	}
	return share, class
}

// worthAt returns the mean worth served in the i-th second of a run.
func (t *Tally) worthAt(i int) float64 {
	var sum float64
	for c := range t.Classes {
		sum += classes[c].kind.Worth * float64(t.Classes[c].served[i])
	}
	return sum / float64(t.runs)
}

const (
	// baselineFrom and baselineTo delimit the seconds before the outage whose worth recovery is
	// compared with.
	baselineFrom   = 10
	baselineTo     = 40
	recoveredShare = 0.95
	// recoverySeconds is how many consecutive seconds must reach recoveredShare.
	recoverySeconds = 3
)

// Recovery returns the time from the end of the outage until the worth served reaches 95% of that
// before the outage and stays there for three seconds. It returns duration if it never does.
func (t *Tally) Recovery() time.Duration {
	var before float64
	for i := baselineFrom; i < baselineTo; i++ {
		before += t.worthAt(i) / (baselineTo - baselineFrom)
	}
	from := int(outageTo / time.Second)
	for i := from; i+recoverySeconds <= windows-1; i++ {
		reached := true
		for k := range recoverySeconds {
			reached = reached && t.worthAt(i+k) >= recoveredShare*before
		}
		if reached {
			return time.Duration(i-from) * time.Second
		}
	}
	return duration
}

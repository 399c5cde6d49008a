package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windows are the seconds of the run.
const windows = int(duration / time.Second)

// perClass counts one class.
type perClass struct {
	Offered, Served int
	Latency         *hdrhistogram.Histogram
	offered, served [windows]int
}

// Tally is what a run, or several, showed.
type Tally struct {
	Classes []perClass
	// Requests are those that callers brought during the outage, again ones
	// included; Attempts those sent to the target meanwhile.
	Requests, Attempts int
	// GivenUp got their final answer without being served in time.
	GivenUp int
	runs    int
}

func newTally() *Tally {
	t := &Tally{Classes: make([]perClass, len(classes)), runs: 1}
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
	t.GivenUp += o.GivenUp
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

// Worth is the share of the offered worth that was served in time.
func (t *Tally) Worth() float64 {
	var served, offered float64
	for c := range t.Classes {
		served += classes[c].kind.Worth * float64(t.Classes[c].Served)
		offered += classes[c].kind.Worth * float64(t.Classes[c].Offered)
	}
	return served / offered
}

// Share is the part of a class's requests that were served in time.
func (t *Tally) Share(c int) float64 {
	return float64(t.Classes[c].Served) / float64(max(t.Classes[c].Offered, 1))
}

// P99 is the class's 99th percentile of the time to an answer in time.
func (t *Tally) P99(c int) time.Duration {
	return time.Duration(t.Classes[c].Latency.ValueAtQuantile(99)) * time.Microsecond
}

// Worst is the lowest share of any class's requests served in time within one
// second of the run, over all seeds: near zero means that it starved.
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

// worthAt is the worth served in a second of the run, for each second of one
// run.
func (t *Tally) worthAt(i int) float64 {
	var sum float64
	for c := range t.Classes {
		sum += classes[c].kind.Worth * float64(t.Classes[c].served[i])
	}
	return sum / float64(t.runs)
}

const (
	// quietFrom and quietTo are the seconds that recovery is judged against.
	quietFrom = 10
	quietTo   = 40
	recovered = 0.95
	// steady is how many seconds in a row must be back.
	steady = 3
)

// Recovery is how long after the end of the outage the worth served is back to
// 95% of that before it, and stays there for three seconds.
func (t *Tally) Recovery() time.Duration {
	var before float64
	for i := quietFrom; i < quietTo; i++ {
		before += t.worthAt(i) / (quietTo - quietFrom)
	}
	from := int(outageTo / time.Second)
	for i := from; i+steady <= windows-1; i++ {
		good := true
		for k := range steady {
			good = good && t.worthAt(i+k) >= recovered*before
		}
		if good {
			return time.Duration(i-from) * time.Second
		}
	}
	return duration
}

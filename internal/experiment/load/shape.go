package load

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/profile"
)

const (
	slots    = 3
	duration = 120 * time.Second
)

// class is a kind of request, with its share of the target's capacity.
type class struct {
	kind    *profile.Kind
	service time.Duration
	// baseline is the share of the slots that it takes outside the spikes in the spike and outage
	// shapes. In the day shape, its share swings around mean by swing.
	baseline, mean, swing float64
}

// classes are the request kinds of both users. Requests of high worth are fewer and take longer,
// and arrive more often at night, when people fly, than by day.
var classes = []class{
	{&profile.Kind{Name: "purchase", Worth: 20, Deadline: 3 * time.Second}, 8 * time.Millisecond, 0.15, 0.15, -0.05},
	{&profile.Kind{Name: "confirm", Worth: 10, Deadline: time.Second}, 5 * time.Millisecond, 0.15, 0.15, -0.05},
	{&profile.Kind{Name: "parts", Worth: 3, Deadline: 800 * time.Millisecond, Access: profile.Read, Idempotent: true}, 4 * time.Millisecond, 0.10, 0.15, 0.10},
	{&profile.Kind{Name: "browse", Worth: 1, Deadline: time.Second, Access: profile.Read, Idempotent: true}, 3 * time.Millisecond, 0.30, 0.45, 0.40},
}

const (
	purchaseClass = iota
	confirmClass
	partsClass
	browseClass
)

// Shape is a load scenario: the share of the slots that each class takes over the run, and the
// faults.
type Shape struct {
	Name string
	load func(class int, at time.Duration) float64
	// outage is set if the target fails between outageFrom and outageTo, and callers retry.
	outage bool
	// slow is set if the target runs at a tenth of its speed between slowFrom and slowTo.
	slow bool
	// proxies is the number of proxies that share the target; 0 means one.
	proxies int
	// skew is the share of the requests that are all sent to one proxy.
	skew float64
}

const (
	slowFrom = 40 * time.Second
	slowTo   = 60 * time.Second
	// slowFactor multiplies a statement's time while the target is slow.
	slowFactor = 10

	outageFrom  = 40 * time.Second
	outageSplit = 45 * time.Second
	outageTo    = 50 * time.Second
)

// Shapes returns the compared load scenarios.
func Shapes() []Shape {
	return []Shape{
		{Name: "day and night", load: dayLoad},
		{Name: "spikes", load: spikeLoad},
		{Name: "outage and retry storm", load: baselineLoad, outage: true},
		{Name: "target at a tenth of its speed", load: baselineLoad, slow: true},
		{Name: "spikes through eight proxies", load: spikeLoad, proxies: 8},
		{Name: "spikes, one of eight proxies with most", load: spikeLoad, proxies: 8, skew: 0.8},
	}
}

// dayLoad maps one day to the run's duration: the load goes from 50% of the slots at night to 130%
// by day.
func dayLoad(c int, at time.Duration) float64 {
	phase := 2 * math.Pi * float64(at) / float64(duration)
	return classes[c].mean + classes[c].swing*math.Sin(phase)
}

func baselineLoad(c int, _ time.Duration) float64 { return classes[c].baseline }

// spikeLoad has three bursts over the baseline: page views at four times, confirmations at five
// times, and all classes at two and a half times.
func spikeLoad(c int, at time.Duration) float64 {
	baseline := classes[c].baseline
	switch {
	case within(at, 20, 35) && c == browseClass:
		return 4 * baseline
	case within(at, 60, 70) && c == confirmClass:
		return 5 * baseline
	case within(at, 95, 105):
		return 2.5 * baseline
	}
	return baseline
}

func within(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

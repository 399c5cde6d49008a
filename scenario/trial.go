package scenario

import (
	"slices"
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
)

// Trial is one measured failover: a steady stream of writes through all proxies, with a fault in
// the middle.
type Trial struct {
	// Gate decides when writes are acknowledged.
	Gate ack.Gate
	// PromoteDelay is how long the gate requires a promoter to wait.
	PromoteDelay time.Duration
	// Confirmed is the percentage of writes whose durability is confirmed, that is, which must not
	// be lost.
	Confirmed int
	// ProbeLoss is the fraction of heartbeats that are lost.
	ProbeLoss float64
	// Heartbeat replaces failover.Config.Heartbeat unless it is zero.
	Heartbeat time.Duration
	// Before, Fault and After are script lines that run before the stream starts, at the fault, and
	// AfterDelay after the fault.
	Before, Fault, After []string
	// AfterDelay is the time from Fault to After.
	AfterDelay time.Duration
	// Length is how long the stream continues after the fault.
	Length time.Duration
}

// Sample is the result of a trial.
type Sample struct {
	// Gap is the longest time without an acknowledged write after the fault.
	Gap time.Duration
	// AckWaits are the times from each commit to its acknowledgement.
	AckWaits []time.Duration
	// Done, NotRun and Unknown count the answers.
	Done, NotRun, Unknown int
	// LostConfirmed and LostOther count acknowledged writes that are missing from the surviving
	// log.
	LostConfirmed, LostOther int
	// Promotions counts changes of primary.
	Promotions int
	// Served reports whether the group could commit at the end.
	Served bool
	// Findings are the checkers' findings, except lost writes.
	Findings []Finding
}

const (
	// writeInterval is the interval between the writes of a trial.
	writeInterval = 20 * time.Millisecond
	// beforeFault is how long the stream runs before the fault, plus a random part of a heartbeat.
	beforeFault = 500 * time.Millisecond
	// trialSettle is how long the group may take to recover after a trial.
	trialSettle = 6 * time.Second
)

// Run executes the trial with a seed. The seed determines the phase of the fault within one
// heartbeat.
func (t Trial) Run(seed uint64) (Sample, error) {
	w := New(seed, nil)
	w.gate, w.promoteDelay, w.heartbeat = t.Gate, t.PromoteDelay, t.Heartbeat
	standard(w)
	w.probeLoss = t.ProbeLoss
	if err := w.runAll(t.Before); err != nil {
		return Sample{}, err
	}
	phase := time.Duration(w.rng.Int64N(int64(w.vms[0].cfg.Heartbeat)))
	fault := w.now.Add(beforeFault + phase)
	end := fault.Add(t.Length)
	w.stream(t.Confirmed, end)
	w.Advance(fault.Sub(w.now))
	if err := w.runAll(t.Fault); err != nil {
		return Sample{}, err
	}
	w.Advance(t.AfterDelay)
	if err := w.runAll(t.After); err != nil {
		return Sample{}, err
	}
	w.Advance(end.Sub(w.now) + requestDeadline + 2*callerGrace)
	s := Sample{Gap: w.gap(fault, end)}
	w.settleFor(trialSettle)
	w.sample(&s)
	return s, nil
}

func (w *World) runAll(lines []string) error {
	for _, line := range lines {
		if err := w.Run(line); err != nil {
			return err
		}
	}
	return nil
}

// stream sends writes through the VMs in turn until end.
func (w *World) stream(confirmed int, end clock.Time) {
	n := 0
	var next func()
	next = func() {
		r := request{op: "stream", row: "stream", durability: profile.Witnessed}
		if w.rng.IntN(100) < confirmed {
			r.durability = profile.Confirmed
		}
		w.start("stream", w.vms[n%len(w.vms)].name, r)
		n++
		if at := w.now.Add(writeInterval); at.Before(end) {
			w.at(at, next)
		}
	}
	w.at(w.now, next)
}

// gap returns the longest time between two acknowledgements after the fault.
func (w *World) gap(fault, end clock.Time) time.Duration {
	last, longest := fault, time.Duration(0)
	for _, at := range w.acknowledgements() {
		if at.Before(fault) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, end.Sub(last))
}

// acknowledgements returns when writes were answered "done", in order.
func (w *World) acknowledgements() []clock.Time {
	var times []clock.Time
	for _, c := range w.history {
		if c.answered != 0 && c.outcome == outcome.Done {
			times = append(times, c.answered)
		}
	}
	slices.Sort(times)
	return times
}

// sample counts answers, losses and promotions.
func (w *World) sample(s *Sample) {
	for _, srv := range w.servers {
		s.Promotions += len(srv.promoted)
	}
	p := w.primary()
	s.Served = p != nil
	if p == nil {
		return
	}
	retained := map[int]bool{}
	for _, e := range p.log {
		retained[e.call] = true
	}
	for _, c := range w.history {
		s.count(c, retained[c.id])
	}
	s.Findings = append(w.checkRan(), w.checkSuperseded()...)
	s.Findings = append(s.Findings, w.checkTerms()...)
	s.Findings = append(s.Findings, w.checkTwice(p)...)
}

func (s *Sample) count(c *call, retained bool) {
	switch c.outcome {
	case outcome.Done:
		s.Done++
		s.AckWaits = append(s.AckWaits, c.ackWait)
	case outcome.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if c.outcome != outcome.Done || retained {
		return
	}
	if c.durability == profile.Confirmed {
		s.LostConfirmed++
	} else {
		s.LostOther++
	}
}

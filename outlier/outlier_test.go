package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/target"
)

const ms = time.Millisecond

func at(n int) clock.Time { return clock.Time(n+1) * clock.Time(ms) }

// play is a fleet of 100 VMs that read 200 times a second at the replicas of one service, through
// two gateways to each target.
type play struct {
	failing  func(id target.ID, n int) float64
	disabled bool
	rnd      *rand.Rand
	vms      []*Detector
	counters [2]Counter
	books    [2]loadreport.Book
	// reads and failed count first tries, by second; asideMost is the largest number of targets that
	// one VM avoided.
	reads, failed [60]int
	asideMost     int
	changes       []Change
}

var ids = []target.ID{"r1", "r2", "p"}

func newPlay(failing func(target.ID, int) float64) *play {
	p := &play{failing: failing, rnd: rand.New(rand.NewPCG(1, 2))}
	for range 100 {
		p.vms = append(p.vms, NewDetector())
	}
	for i := range p.books {
		p.books[i] = *loadreport.NewBook()
	}
	return p
}

// reports returns what reaches a VM: the reports of a target's gateways, 200 ms old.
func (p *play) reports(id target.ID, now clock.Time) (out []loadreport.Report) {
	for i := range p.books {
		out = append(out, p.books[i].Failing(id, 0, now)...)
	}
	return out
}

func (p *play) run(from, to int) {
	for n := from; n < to; n += 5 {
		if n%200 == 0 {
			for i := range p.counters {
				for _, id := range ids {
					f := p.counters[i].Fraction(at(n), id)
					p.books[i].Record(loadreport.Report{Target: id, Reporter: fmt.Sprint("g", i), At: at(n - 200), Failed: f.Lost, Errored: f.Errored, Statements: f.Statements})
				}
			}
		}
		p.read(n, p.rnd.IntN(len(p.vms)))
	}
}

func (p *play) read(n, vm int) {
	all := make([]Target, len(ids))
	for i, id := range ids {
		all[i] = Target{ID: id, Reports: p.reports(id, at(n))}
	}
	avoided, changes := p.vms[vm].Avoided(at(n), all, true, p.rnd.Float64())
	p.changes = append(p.changes, changes...)
	aside := 0
	for _, a := range avoided {
		if a {
			aside++
		}
	}
	p.asideMost = max(p.asideMost, aside)
	i := p.rnd.IntN(2)
	if avoided[i] && !p.disabled {
		i = 1 - i
	}
	o := Answered
	if p.rnd.Float64() < p.failing(ids[i], n) {
		o = Errored
		p.failed[n/1000]++
	}
	p.reads[n/1000]++
	p.counters[vm%2].Record(at(n), "s", ids[i], o)
	p.vms[vm].Record(at(n), ids[i], 0, o, true)
}

// rate returns the fraction of first tries that failed in some seconds.
func (p *play) rate(from, to int) float64 {
	reads, failed := 0, 0
	for s := from; s < to; s++ {
		reads, failed = reads+p.reads[s], failed+p.failed[s]
	}
	return float64(failed) / float64(reads)
}

func only(id target.ID, rate float64, until int) func(target.ID, int) float64 {
	return func(x target.ID, n int) float64 {
		if x == id && n < until {
			return rate
		}
		return 0
	}
}

// Load: one of a service's replicas fails 40% of its statements for 30 s with a good health check.
// Callers of 100 VMs, none of which sends it more than a read a second, meet a quarter of the
// failures that they would meet otherwise, and the target serves its part once it is well.
func TestReadsAvoidATargetThatFailsAPart(t *testing.T) {
	without := newPlay(only("r1", .4, 30_000))
	without.disabled = true
	without.run(0, 30_000)
	require.InDelta(t, .2, without.rate(4, 30), .03)
	p := newPlay(only("r1", .4, 30_000))
	p.run(0, 60_000)
	t.Logf("first tries that fail: %.3f, without the detector %.3f", p.rate(4, 30), without.rate(4, 30))
	require.Less(t, p.rate(4, 30), .05)
	require.Equal(t, 1, p.asideMost)
	require.Zero(t, p.rate(30, 60))
	back := 0
	for vm := range p.vms {
		if avoided, _ := p.vms[vm].Avoided(at(60_000), []Target{{ID: "r1"}, {ID: "r2"}, {ID: "p"}}, true, .9); !avoided[0] {
			back++
		}
	}
	require.GreaterOrEqual(t, back, 90, "VMs that read again at the target within maxPause")
}

// Failure guarded against: a target that is well again is set aside for failures that all targets have.
func TestReturningTargetIsJudgedAgainstItsSiblings(t *testing.T) {
	for _, rate := range []float64{.05, .1} {
		p := newPlay(func(id target.ID, n int) float64 {
			if id == "r1" && n < 10_000 {
				return .4
			}
			return rate
		})
		p.vms = p.vms[:5]
		p.run(0, 60_000)
		avoiding := 0
		for _, d := range p.vms {
			if r := d.records["r1"]; r != nil && r.share(at(60_000)) < 1 {
				avoiding++
			}
		}
		t.Logf("%.2f: %d of 5 VMs avoid it after 50 s", rate, avoiding)
		require.LessOrEqual(t, avoiding, 1, rate)
	}
}

// Failure guarded against: statements that fail at every target set one target after the other
// aside.
func TestErrorsOfAllTargetsAreTheStatementsOwn(t *testing.T) {
	p := newPlay(func(id target.ID, _ int) float64 { return .4 })
	p.run(0, 30_000)
	require.Empty(t, p.changes)
}

// Both replicas of a service fail. Failure guarded against: none is left for reads.
func TestOneOfTwoFailingReplicasStays(t *testing.T) {
	p := newPlay(func(id target.ID, _ int) float64 { return map[target.ID]float64{"r1": .8, "r2": .2}[id] })
	p.run(0, 30_000)
	require.Equal(t, 1, p.asideMost)
}

func report(reporter string, failed float64) loadreport.Report {
	return loadreport.Report{Reporter: reporter, Failed: failed, Statements: window}
}

// siblings returns a service of three whose first target is reported to fail.
func siblings(reports ...loadreport.Report) []Target {
	return []Target{{ID: "r1", Incarnation: 7, Reports: reports}, {ID: "r2"}, {ID: "p"}}
}

// Failure guarded against: a VM behind a cut, or one that lies, sets aside whatever it reports.
func TestOneReporterIsNotBelieved(t *testing.T) {
	d := NewDetector()
	_, changes := d.Avoided(at(0), siblings(report("g1", 1)), true, 0)
	require.Empty(t, changes)
	for range minOwnFailures {
		d.Record(at(0), "r1", 7, Lost, true)
	}
	avoided, changes := d.Avoided(at(1), siblings(report("g1", 1)), true, 0)
	require.Equal(t, []Change{{Target: "r1", Outcome: SetAside, For: firstPause, Times: 1}}, changes)
	require.Equal(t, []bool{true, false, false}, avoided)
}

// Failure guarded against: a gateway whose own link loses packets reports every target behind it.
func TestVMThatLosesAnswersOfSeveralServicesSuspectsItsLink(t *testing.T) {
	var c Counter
	for range window {
		c.Record(at(0), "s", "x", Lost)
	}
	require.Equal(t, window, c.Fraction(at(0), "x").Statements)
	for range window {
		c.Record(at(0), "other", "y", Lost)
	}
	f := c.Fraction(at(0), "x")
	require.Zero(t, f.Statements)
	require.NotZero(t, f.Lost, "reads are placed by it as before")
	c.Retain(at(0), func(id target.ID) (int64, bool) { return 0, id == "x" })
	for range window {
		c.Record(at(0), "other", "z", Errored)
	}
	require.NotZero(t, c.Fraction(at(0), "x").Statements, "an error that arrives shows that the link works")
}

// A target that loses a seventh of its answers is reported as such, and forgotten once it answers.
func TestFailuresOfATarget(t *testing.T) {
	var c Counter
	for i := range 300 {
		o := Answered
		if i%7 == 0 {
			o = Lost
		}
		c.Record(at(i), "s", "x", o)
		c.Record(at(i), "s", "y", Answered)
	}
	require.InDelta(t, 1.0/7, c.Fraction(at(300), "x").Lost, .08)
	require.Zero(t, c.Fraction(at(300), "y"))
	for i := range 200 {
		c.Record(at(300+i), "s", "x", Answered)
	}
	require.Empty(t, c.byTarget)
}

// Failure guarded against: a target that started again, or a VM that was suspended, goes by what was
// known before.
func TestOldKnowledgeEnds(t *testing.T) {
	d, both := NewDetector(), []loadreport.Report{report("g1", .4), report("g2", .4)}
	d.Avoided(at(0), siblings(both...), true, 0)
	avoided, _ := d.Avoided(at(500), siblings(), true, 0)
	require.True(t, avoided[0])
	avoided, changes := d.Avoided(at(60_000), siblings(), true, .99)
	require.False(t, avoided[0], "suspended for a minute")
	require.Equal(t, []Change{{Target: "r1", Outcome: Returned}}, withoutTimes(changes))
	d.Avoided(at(60_000), siblings(both...), true, 0)
	again := siblings()
	again[0].Incarnation = 8
	avoided, _ = d.Avoided(at(60_001), again, true, .99)
	require.False(t, avoided[0], "another incarnation")
	require.True(t, d.Idle())

	var c Counter
	fail := func() {
		for range minStatements {
			c.Record(at(0), "s", "x", Errored)
		}
	}
	fail()
	for _, incarnation := range []int64{7, 8} {
		require.NotEmpty(t, c.Failing(at(0)))
		c.Retain(at(0), func(target.ID) (int64, bool) { return incarnation, true })
	}
	require.Empty(t, c.Failing(at(0)))
	fail()
	require.Empty(t, c.Failing(at(0).Add(maxGap+1)), "reported as it was, it would never get another statement")
}

func withoutTimes(all []Change) []Change {
	for i := range all {
		all[i].Times = 0
	}
	return all
}

// Load: a target that fails again whenever it is probed. It is set aside for longer each time, and
// forgiven step by step once it serves.
func TestSettingAsideGrowsAndIsForgiven(t *testing.T) {
	d, now := NewDetector(), 0
	d.Avoided(at(0), siblings(report("g1", .4), report("g2", .4)), true, 0)
	for i, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		r := d.records["r1"]
		require.Equal(t, at(now).Add(pause*time.Second), r.until, i)
		now += int(pause) * 1000
		avoided, _ := d.Avoided(at(now), siblings(), true, firstShare)
		require.True(t, avoided[0], "most reads still go elsewhere")
		avoided, _ = d.Avoided(at(now), siblings(), true, 0)
		require.False(t, avoided[0], "one probes it")
		avoided, _ = d.Avoided(at(now), siblings(), false, 0)
		require.True(t, avoided[0], "unless it cannot be repeated")
		require.Empty(t, d.Record(at(now), "r1", 7, Lost, false), "a write's lost answer is no probe")
		require.Equal(t, ProbeServed, d.Record(at(now), "r1", 7, Answered, true)[0].Outcome)
		require.Empty(t, d.Record(at(now), "r1", 7, Errored, true), "Avoided let no other through")
		for range minOwnFailures {
			require.Less(t, d.records["r1"].share(at(now)), 1.0)
			avoided, _ = d.Avoided(at(now), siblings(), true, 0)
			require.False(t, avoided[0], "one failure is not enough")
			require.Equal(t, ProbeFailed, d.Record(at(now), "r1", 7, Errored, true)[0].Outcome)
		}
		avoided, _ = d.Avoided(at(now), siblings(), true, 0)
		require.True(t, avoided[0])
	}
	d.Avoided(at(now+30_000+2*30_000), siblings(), true, 0)
	require.Equal(t, 3, d.records["r1"].times)
	d.Avoided(at(now+30_000+5*30_000), siblings(), true, 0)
	require.True(t, d.Idle())
}

// Failure guarded against: the siblings of a target that is set aside have no room for its reads, or
// there is no sibling.
func TestTargetStaysWhileOthersCannotServe(t *testing.T) {
	both := []loadreport.Report{report("g1", .4), report("g2", .4)}
	for name, all := range map[string][]Target{
		"it is overloaded":        {{ID: "r1", Reports: both, Overloaded: true}, {ID: "r2"}, {ID: "p"}},
		"a sibling is overloaded": {{ID: "r1", Reports: both}, {ID: "r2", Overloaded: true}, {ID: "p"}},
		"the siblings are down":   {{ID: "r1", Reports: both}, {ID: "r2", Down: true}, {ID: "p", Down: true}},
		"a service of two":        {{ID: "r1", Reports: both}, {ID: "p"}},
		"alone":                   {{ID: "r1", Reports: both}},
	} {
		_, changes := NewDetector().Avoided(at(0), all, true, 0)
		require.Empty(t, changes, name)
	}
}

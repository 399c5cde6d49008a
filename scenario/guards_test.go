package scenario

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/drain"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
)

// guardCase is a script whose outcome depends on one guard. With the guard, no checker reports
// anything; without it, the checkers report the rule. Seeds differ in the order of messages: with
// the guard every seed must pass, and without it at least one must fail.
type guardCase struct {
	guard  guard.Name
	rule   string
	seeds  uint64
	script string
}

var guardCases = []guardCase{
	// The first server that promises is the lagging one; the other server, which has the confirmed
	// purchase, is not queried.
	{failover.GuardMajority, "lost", 12, `
		lag s2 30s
		write alice purchase row=alice at a
		kill s1
		advance 3s`},
	// Both replicas promise; the one with the shorter log is chosen, and the confirmed purchase is
	// lost.
	{failover.GuardHighest, "lost", 1, `
		lag s2 30s
		write alice purchase row=alice at a
		kill s1
		advance 3s`},
	// Two VMs pick the same next term, and each obtains a majority of its own.
	{failover.GuardReserve, "term-twice", 1, `
		cut c from s2
		cut a from s3
		cut b from s3
		cut a from c
		cut b from c
		on promotion fenced pause c
		relieve s1
		advance 4s
		resume c
		advance 1s`},
	// The store loses a's reservation in a restore, and b reserves the same terms. Both find the
	// primary fenced by c, and each obtains a majority of its own.
	{failover.GuardTermEra, "term-twice", 30, `
		kill a
		restart a
		advance 1s
		store restored 990ms
		kill b
		restart b
		advance 1s
		cut a from s3
		cut b from s2
		cut a from b
		cut a from c
		cut b from c
		on promotion fenced pause c
		relieve s1
		advance 4s
		resume c
		advance 1s`},
	// The candidate is promoted, but its answer is lost. The same term is then assigned to a second
	// candidate.
	{failover.GuardOneCandidate, "term-twice", 1, `
		freeze s1
		cut c from store
		on promotion fenced cut-way s2 to c
		on promotion fenced cut c from callers
		advance 600ms
		resume s1
		advance 2s`},
	// One VM cannot reach a healthy primary. It must not replace the primary on its own observation
	// alone.
	{failover.GuardZones, "deposed", 1, `
		cut c from s1
		advance 5s
		write alice purchase row=alice at a`},
	// Two VMs resume after a pause of five seconds, with only outdated evidence about all servers.
	{failover.GuardPause, "deposed", 60, `
		pause b
		pause c
		advance 5s
		resume b
		resume c
		advance 2s`},
	// A proxy that is cut off together with the old primary has a replica's status from before the
	// write.
	{ack.GuardAskedAfter, "superseded", 1, cutOffWithA + `
		advance 1s
		write alice note row=alice durability=witnessed at a`},
	// The replica that the proxy still reaches has been fenced in the meantime.
	{ack.GuardPromised, "superseded", 1, `
		cut s1 from s2
		cut s1 from s3
		cut s1 from b
		cut s1 from c
		cut a from b
		cut a from c
		cut a from s2
		cut a from store
		advance 2s
		write alice note row=alice durability=witnessed at a`},
	// Only the primary has the write when it is acknowledged.
	{ack.GuardReached, "lost", 1, `
		lag s2 30s
		lag s3 30s
		write alice purchase row=alice at a
		kill s1
		advance 3s`},
	// The new term's log grows past the position of the discarded write.
	{ack.GuardTimeline, "lost", 1, `
		lag s2 30s
		lag s3 30s
		start write alice purchase row=alice at a
		advance 50ms
		kill s1
		lag s2 2ms
		lag s3 2ms
		advance 700ms
		write bob purchase row=bob at b
		write bob purchase row=bob at b
		advance 3s`},
	// The proxy exits immediately, with a transaction in flight.
	{drain.GuardInFlight, "cut", 1, `
		start write alice transfer row=alice statements=900 at a
		advance 20ms
		shutdown a
		advance 5s`},
	// The session reads from a replica that has not yet applied the session's own write.
	{GuardFloor, "history", 6, `
		lag s3 30s
		write alice purchase row=alice at a
		read alice row=alice at c
		read alice row=alice at c
		read alice row=alice at c`},
	// A session without its token reads through a proxy that is cut off together with a superseded
	// primary.
	{GuardWitnessedFloor, "history", 1, `
		lag s2 30s
		lag s3 30s
		write zoe note row=zoe durability=witnessed at a` + cutOffWithA + `
		lag s2 2ms
		lag s3 2ms
		advance 2s
		write alice purchase row=alice at b
		forget alice
		read alice row=alice at a`},
	// The application repeats the request while the first run still waits for its acknowledgement.
	{GuardKey, "twice", 1, `
		on purchase committed pause a
		start write alice purchase row=alice key=k7 at a
		advance 200ms
		write alice again row=alice key=k7 at b
		resume a`},
	// The write was sent and committed; the evidence for its acknowledgement does not arrive in
	// time.
	{GuardOutcome, "ran", 1, `
		lag s2 30s
		lag s3 30s
		write alice order row=alice at a`},
	// A VM resumes after a pause and offers its outdated configuration to the others.
	{GuardGeneration, "reverted", 3, `
		publish 1
		advance 1s
		pause b
		publish 2
		advance 2s
		store down
		resume b
		advance 2s`},
	// The connection breaks after the commit and before its answer arrives.
	{GuardRepeat, "twice", 1, `
		on order commit-sent in 800us reset s1
		write alice order row=alice at a`},
}

// cutOffWithA cuts the primary s1 and proxy a off together from the other servers and VMs, and
// proxy a from the store.
const cutOffWithA = `
		cut s1 from s2
		cut s1 from s3
		cut s1 from b
		cut s1 from c
		cut a from b
		cut a from c
		cut a from s2
		cut a from s3
		cut a from store`

// play runs a script and returns what the checkers find. disabled is the set of guards that are
// taken out.
func (c guardCase) play(t *testing.T, seed uint64, disabled guard.Set) []Finding {
	w := Standard(seed, disabled)
	runLines(t, w, c.script)
	var found []Finding
	switch c.rule {
	case "cut":
		found = w.checkInterrupted()
	case "deposed":
		found = w.checkNeedlessPromotion()
	}
	w.Settle()
	found = append(found, w.Check()...)
	if testing.Verbose() {
		t.Logf("seed %d without %v: %v\n%s", seed, disabled, found, w.TakeTrace())
	}
	return found
}

// checkNeedlessPromotion reports promotions in a script in which every server stays healthy and
// most VMs reach it.
func (w *World) checkNeedlessPromotion() []Finding {
	for _, s := range w.servers {
		if len(s.promoted) > 0 {
			return []Finding{{"deposed", string(s.id) + " was promoted over a healthy primary"}}
		}
	}
	return nil
}

// checkInterrupted reports requests that a graceful shutdown interrupted.
func (w *World) checkInterrupted() []Finding {
	var found []Finding
	for _, c := range w.history {
		v := w.vm(c.proxy)
		if v.proxy.drain.Phase() != drain.PhaseServing && c.outcome == outcome.Unknown {
			found = append(found, Finding{"cut", describe(c)})
		}
	}
	return found
}

func hasRule(found []Finding, rule string) bool {
	for _, f := range found {
		if f.Rule == rule {
			return true
		}
	}
	return false
}

// TestEveryGuardIsNeeded runs each guard's script with and without the guard. If the checkers
// report nothing without the guard, the script does not test the guard.
func TestEveryGuardIsNeeded(t *testing.T) {
	for _, c := range guardCases {
		t.Run(strings.ReplaceAll(string(c.guard), "/", "-"), func(t *testing.T) {
			broken := false
			for seed := uint64(1); seed <= c.seeds; seed++ {
				require.Empty(t, c.play(t, seed, nil), "with the guard, seed %d", seed)
				broken = broken || hasRule(c.play(t, seed, guard.Without(c.guard)), c.rule)
			}
			require.True(t, broken, "no checker reports the violation without the guard")
		})
	}
}

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

// guardCase is a script in which one guard decides. With the guard every judge
// is content; without it the judges report the rule. Seeds differ in the order
// of messages: with the guard all must hold, without it one of them must break.
type guardCase struct {
	guard  guard.Name
	rule   string
	seeds  uint64
	script string
}

var guardCases = []guardCase{
	// The first server that promises is the one that lags; the other one, which
	// holds the confirmed purchase, is not asked.
	{failover.GuardMajority, "lost", 12, `
		lag s2 30s
		write alice purchase row=alice at a
		kill s1
		advance 3s`},
	// Both replicas promise; the shorter log is chosen, and the confirmed
	// purchase is gone.
	{failover.GuardHighest, "lost", 1, `
		lag s2 30s
		write alice purchase row=alice at a
		kill s1
		advance 3s`},
	// Two VMs count up to the same term, each with a majority of its own.
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
	// The candidate leads, but its answer is lost. The same term is given to a
	// second candidate.
	{failover.GuardOneCandidate, "term-twice", 1, `
		freeze s1
		cut c from store
		on promotion fenced cut-way s2 to c
		on promotion fenced cut c from callers
		advance 600ms
		resume s1
		advance 2s`},
	// One VM cannot reach a healthy primary. It must not depose it alone.
	{failover.GuardZones, "deposed", 1, `
		cut c from s1
		advance 5s
		write alice purchase row=alice at a`},
	// Two VMs wake after five seconds with old evidence of everything.
	{failover.GuardPause, "deposed", 60, `
		pause b
		pause c
		advance 5s
		resume b
		resume c
		advance 2s`},
	// A proxy cut off with the old primary has a replica's word from before.
	{ack.GuardAskedAfter, "superseded", 1, cutOffWithA + `
		advance 1s
		write alice note row=alice durability=witnessed at a`},
	// The replica that the proxy still reaches has been fenced meanwhile.
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
	// The write is on the primary alone when it is acknowledged.
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
	// The proxy goes at once, with a transaction in flight.
	{drain.GuardInFlight, "cut", 1, `
		start write alice transfer row=alice statements=900 at a
		advance 20ms
		shutdown a
		advance 5s`},
	// The session reads at a replica that is behind its own write.
	{GuardFloor, "history", 6, `
		lag s3 30s
		write alice purchase row=alice at a
		read alice row=alice at c
		read alice row=alice at c
		read alice row=alice at c`},
	// A session without its token asks beside a superseded primary.
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
	// The application asks again while the first run waits for its proof.
	{GuardKey, "twice", 1, `
		on purchase committed pause a
		start write alice purchase row=alice key=k7 at a
		advance 200ms
		write alice again row=alice key=k7 at b
		resume a`},
	// The write was sent and committed; its proof does not come in time.
	{GuardOutcome, "ran", 1, `
		lag s2 30s
		lag s3 30s
		write alice order row=alice at a`},
	// A VM wakes after a pause and offers its old configuration to the others.
	{GuardGeneration, "reverted", 3, `
		publish 1
		advance 1s
		pause b
		publish 2
		advance 2s
		store down
		resume b
		advance 2s`},
	// The connection breaks after the commit and before its answer.
	{GuardRepeat, "twice", 1, `
		on order commit-sent in 800us reset s1
		write alice order row=alice at a`},
}

// cutOffWithA cuts the primary s1 and the proxy a, together, off from the rest.
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

// play runs a script and returns what the judges find.
func (c guardCase) play(t *testing.T, seed uint64, out guard.Set) []Finding {
	w := Standard(seed, out)
	runLines(t, w, c.script)
	var found []Finding
	switch c.rule {
	case "cut":
		found = w.judgeCut()
	case "deposed":
		found = w.judgeDeposed()
	}
	w.Settle()
	found = append(found, w.Judge()...)
	if testing.Verbose() {
		t.Logf("seed %d without %v: %v\n%s", seed, out, found, w.TakeTrace())
	}
	return found
}

// judgeDeposed finds promotions in a script that leaves every server healthy
// and in reach of most VMs.
func (w *World) judgeDeposed() []Finding {
	for _, s := range w.servers {
		if len(s.promoted) > 0 {
			return []Finding{{"deposed", string(s.id) + " was promoted over a healthy primary"}}
		}
	}
	return nil
}

// judgeCut finds requests that a graceful shutdown cut.
func (w *World) judgeCut() []Finding {
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

// TestEveryGuardIsNeeded plays each guard's script with the guard, and without
// it. A judge that stays content without the guard proves nothing.
func TestEveryGuardIsNeeded(t *testing.T) {
	for _, c := range guardCases {
		t.Run(strings.ReplaceAll(string(c.guard), "/", "-"), func(t *testing.T) {
			red := false
			for seed := uint64(1); seed <= c.seeds; seed++ {
				require.Empty(t, c.play(t, seed, nil), "with the guard, seed %d", seed)
				red = red || hasRule(c.play(t, seed, guard.Without(c.guard)), c.rule)
			}
			require.True(t, red, "no judge misses the guard")
		})
	}
}

package groups

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

func at(term, n int) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
}

// The reply to a commit contains the end of the log, beyond other sessions' commits that are not
// acknowledged yet. The bound must exclude those, or a valid candidate that has not received them
// could not be promoted.
func TestBoundExcludesUnacknowledgedCommits(t *testing.T) {
	var a Acknowledged
	a.RecordPosition(at(1, 100))
	before := a.Before()
	a.Commit(before, at(1, 140))
	require.Equal(t, at(1, 101), a.Bound())
}

func TestBoundDoesNotCrossTerms(t *testing.T) {
	var a Acknowledged
	a.RecordPosition(at(1, 500))
	a.Commit(a.Before(), at(2, 481))
	require.True(t, a.Bound().IsZero(), "500 belongs to a discarded branch")
	a.Raise(at(2, 490))
	a.Raise(at(2, 485))
	require.Equal(t, at(2, 490), a.Bound())
}

// In every order of replies and other sessions' commits, the bound is never above the highest
// acknowledged commit.
func TestBoundIsNeverAboveAnAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Acknowledged
		log, highest := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := a.Before()
			log += rapid.IntRange(0, 5).Draw(t, "others")
			log++
			own := log
			log += rapid.IntRange(0, 5).Draw(t, "later")
			if rapid.Bool().Draw(t, "acknowledged") {
				a.Commit(before, at(1, log))
				highest = max(highest, own)
			}
			a.RecordPosition(at(1, log))
			require.LessOrEqual(t, int(a.Bound().LSN), highest)
		}
	})
}

// Failure guarded against: of commits that run at once only the first one raises the bound. The others'
// only other holder leaves with its log, and a target without them is promoted.
func TestCommitsThatRunAtOnceAllRaiseTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Acknowledged
		log, highest, running := 0, 0, []runningCommit(nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				log++ // another VM's commit
			case 1, 2:
				log++
				running = append(running, runningCommit{before: a.beforeIn(1), number: log})
			default:
				for _, c := range running {
					a.Commit(c.before, at(1, log))
					highest = max(highest, c.number)
				}
				if n := len(running); n > 0 {
					require.GreaterOrEqual(t, int(a.Bound().LSN), int(running[0].before.LSN)+n)
				}
				running = nil
				a.RecordPosition(at(1, log))
			}
			require.LessOrEqual(t, int(a.Bound().LSN), highest)
		}
	})
}

// runningCommit is a commit that was sent with what was known before, and took a number of the log.
type runningCommit struct {
	before timeline.Position
	number int
}

// Failure guarded against: the first commits of a term that a VM learns of leave the bound as it was, and a
// log that lacks them is promoted. The bound must not lie above an acknowledged commit either.
func TestFirstCommitsOfATermRaiseTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Acknowledged
		term, log, highest := 0, 0, timeline.Position{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if term == 0 || rapid.IntRange(0, 4).Draw(t, "promotion") == 0 {
				// The new primary holds what was acknowledged, and not all that the last one held.
				term++
				log = rapid.IntRange(int(highest.LSN), log).Draw(t, "received")
			}
			before := a.beforeIn(timeline.Term(term))
			log += rapid.IntRange(0, 5).Draw(t, "others")
			log++
			own := at(term, log)
			log += rapid.IntRange(0, 5).Draw(t, "later")
			if rapid.Bool().Draw(t, "acknowledged") {
				a.Commit(before, at(term, log))
				highest = own
				require.EqualValues(t, term, a.Bound().Term, "a log of the term before passes")
			}
			require.False(t, highest.Less(a.Bound()), "%v is above %v", a.Bound(), highest)
			require.LessOrEqual(t, a.Bound().LSN, highest.LSN)
			if rapid.Bool().Draw(t, "reported") {
				a.RecordPosition(at(term, log))
			}
		}
	})
}

// Failure guarded against: the same at the places that send commits, which know the primary's term.
func TestCommitIsBeyondTheTermOfItsPrimary(t *testing.T) {
	h := catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.NewNop()})
	r.Update(listing(h, 7, 10))
	g := r.Group("s")
	g.Acknowledged.RecordPosition(at(1, 500))
	g.Acknowledged.Raise(at(1, 480))
	require.Equal(t, at(1, 500), g.BeforeCommit("other"))
	g.Leadership.RecordStatus("p", target.RolePrimary, 2)
	require.Equal(t, at(2, 480), g.BeforeCommit("p"))
	g.Acknowledged.Commit(g.BeforeCommit("p"), at(2, 481))
	require.Equal(t, at(2, 481), g.Acknowledged.Bound())
}

package groups

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/timeline"
)

func at(term, n int) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
}

// The answer to a commit shows the end of the log, where other sessions' commits
// lie that are not acknowledged yet. The bound must not take those in, or a
// right candidate, which never received them, could not be promoted.
func TestBoundStaysBelowWhatIsNotAcknowledged(t *testing.T) {
	var a Acknowledged
	a.Told(at(1, 100))
	before := a.Before()
	a.Commit(before, at(1, 140))
	require.Equal(t, at(1, 101), a.Bound())
}

func TestBoundDoesNotCrossTerms(t *testing.T) {
	var a Acknowledged
	a.Told(at(1, 500))
	a.Commit(a.Before(), at(2, 481))
	require.True(t, a.Bound().IsZero(), "500 is of a branch that was discarded")
	a.Raise(at(2, 490))
	a.Raise(at(2, 485))
	require.Equal(t, at(2, 490), a.Bound())
}

// However answers and other sessions' commits interleave, the bound is never
// above the highest commit that was acknowledged.
func TestBoundIsNeverAboveAnAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Acknowledged
		log, highest := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := a.Before()
			log += rapid.IntRange(0, 5).Draw(t, "others")
			log++
			mine := log
			log += rapid.IntRange(0, 5).Draw(t, "later")
			if rapid.Bool().Draw(t, "acknowledged") {
				a.Commit(before, at(1, log))
				highest = max(highest, mine)
			}
			a.Told(at(1, log))
			require.LessOrEqual(t, int(a.Bound().LSN), highest)
		}
	})
}

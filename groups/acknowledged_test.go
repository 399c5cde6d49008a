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

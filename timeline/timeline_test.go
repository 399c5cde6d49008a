package timeline

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var threeTerms = History{{Term: 1, LSN: 0}, {Term: 2, LSN: 100}, {Term: 5, LSN: 150}}

// A purchase is committed by the old primary at 120, but term 2 started at 100: the promotion
// discarded its position, which must not count as retained.
func TestPositionBeyondLaterStartWasDiscarded(t *testing.T) {
	require.True(t, threeTerms.WasDiscarded(Position{Term: 1, LSN: 120}))
	require.False(t, threeTerms.WasDiscarded(Position{Term: 1, LSN: 100}))
	require.Equal(t, LSN(100), threeTerms.Retained(Position{Term: 1, LSN: 120}).LSN)
}

// A superseded primary has written on to 400 without replicas. Its log is the longest, but its
// positions beyond 100 are not part of the group's history: it must not serve a session that wrote
// at 140 of term 2.
func TestSupersededPrimaryDoesNotCoverByLength(t *testing.T) {
	require.False(t, threeTerms.Covers(Position{Term: 1, LSN: 400}, Position{Term: 2, LSN: 140}))
	require.True(t, threeTerms.Covers(Position{Term: 1, LSN: 400}, Position{Term: 2, LSN: 100}))
}

// A session presents a token of term 9 to a proxy that does not know that term yet. A server of
// term 5 cannot prove that it holds the write.
func TestUnknownTermIsNotCovered(t *testing.T) {
	require.False(t, threeTerms.Covers(Position{Term: 5, LSN: 900}, Position{Term: 9, LSN: 10}))
	require.True(t, threeTerms.Covers(Position{Term: 9, LSN: 10}, Position{Term: 9, LSN: 10}))
}

func TestCoversIsMonotonicInHave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		have := Position{Term: Term(rapid.IntRange(1, 5).Draw(t, "term")), LSN: LSN(rapid.IntRange(0, 300).Draw(t, "lsn"))}
		want := Position{Term: Term(rapid.IntRange(1, 5).Draw(t, "wantTerm")), LSN: LSN(rapid.IntRange(0, 300).Draw(t, "wantLSN"))}
		if threeTerms.Covers(have, want) {
			have.LSN += LSN(rapid.IntRange(0, 50).Draw(t, "more"))
			require.True(t, threeTerms.Covers(have, want))
		}
	})
}

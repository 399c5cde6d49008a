package recency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
)

const second = clock.Time(time.Second)

// Guards against a VM that takes a word about one list, or about a version that it lacks, for its own copy's.
func TestEvidenceSpeaksOfOneListAndOneVersion(t *testing.T) {
	var b Board
	require.Equal(t, Unknown, b.Age(Config, 14, 9*second))
	b.Note(Config, Mark{Version: 14, At: 1 * second})
	b.Note(Fleet, Mark{Version: 100, At: 8 * second})
	require.Equal(t, 8*time.Second, b.Age(Config, 14, 9*second))
	b.Note(Config, Mark{Version: 16, At: 5 * second})
	require.Equal(t, 8*time.Second, b.Age(Config, 14, 9*second), "version 16 is not here yet")
	require.Equal(t, 4*time.Second, b.Age(Config, 16, 9*second), "now it is")
	b.Note(Config, Mark{Version: 14, At: 6 * second})
	require.Equal(t, 3*time.Second, b.Age(Config, 16, 9*second), "an older copy was the store's later on: so was this one")
}

// Guards against evidence that grows older, or younger than any word that fits the copy.
func TestAgeIsThatOfTheNewestFittingWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Board
		have, newest := int64(0), clock.Time(0)
		version, at := int64(1), clock.Time(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version += rapid.Int64Range(0, 1).Draw(t, "published")
			at += clock.Time(rapid.IntRange(1, 5).Draw(t, "passed"))
			b.Note(Config, Mark{Version: version, At: at})
			if rapid.Bool().Draw(t, "taken") {
				have = version
			}
			if version <= have {
				newest = at
			}
			require.Equal(t, newest, b.Newest(Config, have).At)
		}
	})
}

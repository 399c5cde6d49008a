package recency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
)

const second = clock.Time(time.Second)

// Guards against: a VM that applies evidence for another list, or for a version that it lacks, to
// its own copy.
func TestEvidenceSpeaksOfOneListAndOneVersion(t *testing.T) {
	var b Tracker
	require.Equal(t, Unknown, b.Age(Config, 14, 9*second))
	b.Record(Config, Confirmation{Version: 14, At: 1 * second})
	b.Record(Fleet, Confirmation{Version: 100, At: 8 * second})
	require.Equal(t, 8*time.Second, b.Age(Config, 14, 9*second))
	b.Record(Config, Confirmation{Version: 16, At: 5 * second})
	require.Equal(t, 8*time.Second, b.Age(Config, 14, 9*second), "this VM does not have version 16 yet")
	require.Equal(t, 4*time.Second, b.Age(Config, 16, 9*second), "this VM now has version 16")
	b.Record(Config, Confirmation{Version: 14, At: 6 * second})
	require.Equal(t, 3*time.Second, b.Age(Config, 16, 9*second), "version 14 was the store's at a later time, so version 16 was not outdated then either")
}

// Guards against: evidence that gets older, or is newer than every confirmation that matches the
// copy.
func TestAgeIsThatOfTheNewestMatchingConfirmation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Tracker
		have, newest := int64(0), clock.Time(0)
		version, at := int64(1), clock.Time(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version += rapid.Int64Range(0, 1).Draw(t, "published")
			at += clock.Time(rapid.IntRange(1, 5).Draw(t, "passed"))
			b.Record(Config, Confirmation{Version: version, At: at})
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

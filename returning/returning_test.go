package returning

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

const ms = clock.Time(time.Millisecond)

func TestReturningCallerIsDueFromItsFirstTry(t *testing.T) {
	var b Book
	b.Refuse(Refused{7, 1000 * ms})
	require.Equal(t, 1000*ms, b.Take(1500*ms, 7, 1500*ms, time.Second))
	require.Equal(t, 1600*ms, b.Take(1600*ms, 7, 1600*ms, time.Second), "once served, it is forgotten")
	require.Equal(t, []Refused{{7, 1000 * ms}}, b.Untold())
	require.Empty(t, b.Untold())
}

// Failure guarded against: two callers ask the same under one name, one of them is refused, and both
// count as returning ever after.
func TestEachEntryIsUsedOnce(t *testing.T) {
	var b Book
	b.Refuse(Refused{7, 1000 * ms})
	b.Refuse(Refused{7, 1200 * ms})
	require.Equal(t, 1000*ms, b.Take(1500*ms, 7, 1500*ms, time.Second))
	require.Equal(t, 1200*ms, b.Take(1500*ms, 7, 1500*ms, time.Second))
	require.Equal(t, 1500*ms, b.Take(1500*ms, 7, 1500*ms, time.Second))
}

// Failure guarded against: a read is refused at one target and tried at the next, and counts as
// returning, or uses the entry of another caller.
func TestNextTargetOfARequestIsNoReturn(t *testing.T) {
	var b Book
	b.Refuse(Refused{7, 700 * ms})
	b.Refuse(Refused{7, 1000 * ms})
	b.Keep(Refused{7, 1010 * ms})
	require.Equal(t, 1000*ms, b.Take(1100*ms, 7, 1000*ms, time.Second))
	require.Equal(t, 700*ms, b.Take(1100*ms, 7, 1100*ms, time.Second), "two messages of one try are one entry")
	require.Equal(t, 1100*ms, b.Take(1100*ms, 7, 1100*ms, time.Second))
}

// Failure guarded against: a VM that was suspended takes a caller for one that has left long ago, or
// keeps the memory of those who left.
func TestOldEntriesAreDropped(t *testing.T) {
	var books Books
	b := books.Book("s")
	b.Refuse(Refused{7, 1000 * ms})
	books.Told(2000*ms, "s", []uint64{7}, []time.Duration{500 * time.Millisecond})
	require.Equal(t, 1500*ms, b.Take(2400*ms, 7, 2400*ms, time.Second))
	b.Refuse(Refused{7, 1000 * ms})
	require.Equal(t, 9000*ms, b.Take(9000*ms, 7, 9000*ms, time.Second))
	require.Zero(t, b.Len())
	b.Refuse(Refused{7, 1000 * ms})
	b.Refuse(Refused{8, 2000 * ms})
	books.Expire(1000*ms + clock.Time(MaxAge))
	require.Equal(t, 1, b.Len())
	books.Retain(func(string) bool { return false })
	require.Empty(t, books.book)
}

// Failure guarded against: a caller who was refused later than a request arrived gives that one its
// entry, and counts as new when it returns.
func TestLaterEntryIsOfAnotherCaller(t *testing.T) {
	var b Book
	b.Refuse(Refused{7, 2000 * ms})
	require.Equal(t, 1500*ms, b.Take(2100*ms, 7, 1500*ms, time.Second))
	require.Equal(t, 2000*ms, b.Take(2200*ms, 7, 2200*ms, time.Second))
}

// Failure guarded against: a peer's wrong message fills a book.
func TestWrongMessagesAreIgnored(t *testing.T) {
	var books Books
	b := books.Book("s")
	books.Told(0, "s", make([]uint64, maxUntold+1), make([]time.Duration, maxUntold+1))
	books.Told(0, "s", []uint64{1, 2}, []time.Duration{0})
	books.Told(0, "s", []uint64{1, 2}, []time.Duration{MaxAge, -1})
	require.Zero(t, b.Len())
	for i := range 2 * maxOfCaller {
		books.Told(0, "s", []uint64{1}, []time.Duration{time.Duration(i) * time.Second / 2})
	}
	require.Equal(t, maxOfCaller, b.Len())
}

func TestBookIsBounded(t *testing.T) {
	var books Books
	b := books.Book("s")
	for i := range uint64(maxCallers + 10) {
		b.Refuse(Refused{i + 1, clock.Time(i) * ms})
	}
	require.Equal(t, maxCallers, b.Len())
	require.Len(t, b.byCaller, maxCallers)
	require.Len(t, books.Untold()["s"], maxUntold)
	books.Told(0, "unknown", []uint64{1}, []time.Duration{0})
	require.Len(t, books.book, 1)
}

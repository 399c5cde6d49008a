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
	news := b.Untold()
	require.Empty(t, news.Refused)
	require.Equal(t, []Refused{{7, 1000 * ms}}, news.Returned)
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
	b.Told(Refused{7, 1010 * ms})
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
	require.Len(t, books.Untold()["s"].Refused, maxUntold)
	books.Told(0, "unknown", []uint64{1}, []time.Duration{0})
	require.Len(t, books.book, 1)
}

// Failure guarded against: a caller was served where it returned, asks the same again at another VM, and
// counts there as returning by its old entry; or it was refused again, and is forgotten.
func TestEachEntryIsUsedOnceInTheService(t *testing.T) {
	var a, b Book
	tell := func(from, to *Book) {
		news := from.Untold()
		for _, r := range news.Refused {
			to.Told(r)
		}
		for _, r := range news.Returned {
			to.Returned(r)
		}
	}
	a.Refuse(Refused{7, 1000 * ms})
	tell(&a, &b)
	require.Equal(t, 1000*ms, b.Take(1200*ms, 7, 1200*ms, time.Second))
	b.Refuse(Refused{7, 1000 * ms})
	tell(&b, &a)
	require.Equal(t, 1000*ms, a.Take(1400*ms, 7, 1400*ms, time.Second))
	tell(&a, &b)
	require.Equal(t, 1500*ms, b.Take(1500*ms, 7, 1500*ms, time.Second))
	require.Zero(t, a.Len()+b.Len())
}

// Failure guarded against: many ask the same under one name, and new ones are served as late for those
// who were refused before.
func TestAmbiguousHashesCountAsNew(t *testing.T) {
	const other, caller, many = 9, 7, 5
	var b Book
	b.Refuse(Refused{other, 900 * ms})
	refuse := func(caller uint64, at clock.Time) {
		require.Equal(t, at, b.Take(at, caller, at, time.Second))
		b.Refuse(Refused{caller, at})
	}
	refuse(caller, 1000*ms)
	refuse(many, 1000*ms)
	require.Equal(t, 1000*ms, b.Take(1200*ms, many, 1200*ms, time.Second), "not yet ambiguous")
	refuse(many, 1300*ms)
	require.Equal(t, 1500*ms, b.Take(1500*ms, many, 1500*ms, time.Second))
	require.Equal(t, 1000*ms, b.Take(1600*ms, caller, 1600*ms, time.Second), "another hash")
}

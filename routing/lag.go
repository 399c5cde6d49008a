package routing

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// lagFine is the number of buckets to a doubling, so that a bucket is at
	// most a quarter wide.
	lagFine     = 4
	lagFineBits = 2
	// lagBuckets reach from 1 ms to 32 s; the last one holds what is above.
	lagBuckets = 56
	// lagWindow is the count at which the histogram is halved, so that it
	// shows the recent distribution.
	lagWindow = 256
	// lagMinimum is the count below which no estimate is given.
	lagMinimum = 8
)

// lagHistogram is the recent distribution of a replica's lag. It is written
// for each status and read for each request, without a lock; a reader may see
// a count that is being halved, which only blurs an estimate.
type lagHistogram struct {
	total  atomic.Int64
	counts [lagBuckets]atomic.Int64
}

// lagBucket returns the bucket of d: exact below lagFine milliseconds, then
// lagFine buckets to each doubling.
func lagBucket(d time.Duration) int {
	ms := uint64(max(d.Milliseconds(), 0))
	if ms < lagFine {
		return int(ms)
	}
	shift := bits.Len64(ms) - lagFineBits - 1
	fine := int(ms>>shift) % lagFine
	return min((shift+1)*lagFine+fine, lagBuckets-1)
}

// bucketTop is the upper bound of a bucket.
func bucketTop(i int) time.Duration {
	if i < lagFine {
		return time.Duration(i+1) * time.Millisecond
	}
	shift := i/lagFine - 1
	return time.Duration((lagFine+i%lagFine+1)<<shift) * time.Millisecond
}

func (l *lagHistogram) add(d time.Duration) {
	l.counts[lagBucket(d)].Add(1)
	if l.total.Add(1) < lagWindow {
		return
	}
	var left int64
	for i := range l.counts {
		half := l.counts[i].Load() / 2
		l.counts[i].Store(half)
		left += half
	}
	l.total.Store(left)
}

// quantile returns an upper bound of the lag's q-quantile.
func (l *lagHistogram) quantile(q float64) (time.Duration, bool) {
	total := l.total.Load()
	if total < lagMinimum {
		return 0, false
	}
	rank := int64(q * float64(total))
	var seen int64
	for i := range l.counts {
		seen += l.counts[i].Load()
		if seen > rank {
			return bucketTop(i), true
		}
	}
	return bucketTop(lagBuckets - 1), true
}

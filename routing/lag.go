package routing

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// lagSubBuckets is the number of buckets per doubling, so that a bucket's width is at most a
	// quarter of its lower bound.
	lagSubBuckets    = 4
	lagSubBucketBits = 2
	// lagBuckets cover 1 ms to 32 s; the last one includes all larger values.
	lagBuckets = 56
	// lagWindow is the count at which the histogram is halved, so that it represents the recent
	// distribution.
	lagWindow = 256
	// lagMinSamples is the count below which no estimate is returned.
	lagMinSamples = 8
)

// lagHistogram is the recent distribution of a replica's lag. It is written for each status report
// and read for each request, without a lock. A reader may see counts while they are being halved,
// which only makes an estimate less precise.
type lagHistogram struct {
	total  atomic.Int64
	counts [lagBuckets]atomic.Int64
}

// lagBucket returns the bucket of d: one bucket per millisecond below lagSubBuckets milliseconds,
// then lagSubBuckets buckets per doubling.
func lagBucket(d time.Duration) int {
	ms := uint64(max(d.Milliseconds(), 0))
	if ms < lagSubBuckets {
		return int(ms)
	}
	shift := bits.Len64(ms) - lagSubBucketBits - 1
	fine := int(ms>>shift) % lagSubBuckets
	return min((shift+1)*lagSubBuckets+fine, lagBuckets-1)
}

// bucketTop returns the upper bound of a bucket.
func bucketTop(i int) time.Duration {
	if i < lagSubBuckets {
		return time.Duration(i+1) * time.Millisecond
	}
	shift := i/lagSubBuckets - 1
	return time.Duration((lagSubBuckets+i%lagSubBuckets+1)<<shift) * time.Millisecond
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
	if total < lagMinSamples {
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

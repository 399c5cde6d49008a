package ownership

import (
	"time"

	"endivemoor.example/endivemoor/store"
)

// Budget is the number of calls per second that the whole fleet may make to the store, and its
// division by purpose. It does not grow with the fleet: the more callers a purpose has, the longer
// each of them waits between calls.
type Budget struct {
	// Total is in calls per second. The default is 200, a tenth of the reads that the store can
	// serve.
	Total float64
	// Shares contains the fraction of Total for each purpose; the sum is at most 1.
	Shares map[store.Purpose]float64
}

// DefaultBudget returns the budget that a daemon uses by default. Writes (leases, groups, audit)
// stay within a tenth of the several hundred writes per second that the store accepts.
func DefaultBudget() Budget {
	return Budget{
		Total: 200,
		Shares: map[store.Purpose]float64{
			store.PurposeLease:   0.20,
			store.PurposeGroup:   0.20,
			store.PurposeProfile: 0.20,
			store.PurposeVMs:     0.15,
			store.PurposeAudit:   0.05,
			store.PurposeDrain:   0.10,
			store.PurposeKey:     0.05,
			store.PurposeCommand: 0.05,
		},
	}
}

// Interval returns how long each of n callers of the purpose waits between two calls, so that all
// callers together stay within the purpose's share. It returns at least minimum and at most
// maxInterval. A purpose without a share gets maxInterval.
func (b Budget) Interval(p store.Purpose, n int, minimum time.Duration) time.Duration {
	rate := b.Total * b.Shares[p]
	if rate <= 0 {
		return maxInterval
	}
	each := time.Duration(float64(max(n, 1)) / rate * float64(time.Second))
	return min(max(each, minimum), maxInterval)
}

// maxInterval bounds the interval; a purpose that needs a longer one requires another mechanism.
const maxInterval = time.Hour

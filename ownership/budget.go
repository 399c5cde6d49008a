package ownership

import (
	"time"

	"endivemoor.example/endivemoor/store"
)

// Budget is the number of calls a second that the whole fleet makes to the
// store, and how they are shared by purpose. It does not grow with the fleet:
// the more callers a purpose has, the longer each of them waits between calls.
type Budget struct {
	// Total is in calls a second; default 200, a tenth of the store's reads.
	Total float64
	// Shares are parts of Total by purpose, with a sum of at most 1.
	Shares map[store.Purpose]float64
}

// DefaultBudget is what a daemon uses unless it is set otherwise. Writes
// (leases, groups, audit) stay within a tenth of the several hundred writes a
// second that the store takes.
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

// Interval returns how long each of n callers of the purpose waits between two
// calls, so that all together stay within the share; never less than least.
// A purpose without a share gets the longest wait.
func (b Budget) Interval(p store.Purpose, n int, least time.Duration) time.Duration {
	rate := b.Total * b.Shares[p]
	if rate <= 0 {
		return maxInterval
	}
	each := time.Duration(float64(max(n, 1)) / rate * float64(time.Second))
	return min(max(each, least), maxInterval)
}

// maxInterval bounds the wait: beyond it a purpose needs another mechanism.
const maxInterval = time.Hour

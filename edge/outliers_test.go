package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readingAt has consumers read through all VMs of a fleet, and returns how many of all statements a
// target ran, and how many of these failed.
func readingAt(f *fleet, id string, readers int, during time.Duration) (part float64, failed int) {
	ran, failed := f.group.Ran(id)
	out := runReaders(f, readers, during)
	ranNow, failedNow := f.group.Ran(id)
	return float64(ranNow-ran) / float64(out.served), failedNow - failed
}

// Failure guarded against: a target with good health checks that fails 40% of its statements and keeps getting
// its part of the reads, because each VM meets too few of its failures. Once it is well it serves
// again.
func TestReadsAvoidATargetThatFailsAPartOfThem(t *testing.T) {
	runScarce(t, func(f *fleet) {
		usual, _ := readingAt(f, "ledger-1", 6, 5*time.Second)
		f.group.SetFailing("ledger-1", .4)
		readingAt(f, "ledger-1", 6, 5*time.Second)
		part, failed := readingAt(f, "ledger-1", 6, 10*time.Second)
		t.Logf("%.2f of all reads before, %.2f and %d failed while it fails", usual, part, failed)
		require.Less(t, part, usual/4)
		f.group.SetFailing("ledger-1", 0)
		readingAt(f, "ledger-1", 6, time.Minute)
		part, failed = readingAt(f, "ledger-1", 6, 5*time.Second)
		t.Logf("%.2f once it is well", part)
		require.Zero(t, failed)
		require.Greater(t, part, usual/2, "its reads come back")
		f.checkInvariants()
	})
}

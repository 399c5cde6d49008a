package control

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/internal/experiment/report"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/ownership"
	"endivemoor.example/endivemoor/store"
)

// Result is the measurement of the failure of one VM in a fleet of one size.
type Result struct {
	// Detection is the time in ms until each surviving VM removed the failed VM.
	Detection *hdrhistogram.Histogram
	// Missed is the number of surviving VMs that had not removed it when the run ended.
	Missed int
	// FalseRemovals is the number of removals of live VMs.
	FalseRemovals int
	// Bytes is the mean number of bytes that a VM sent per second.
	Bytes float64
}

// MeasureFailure kills one of n VMs and measures its removal by the others.
func MeasureFailure(n int, loss float64, seed uint64) Result {
	f := newFleet(n, loss, seed)
	f.start()
	f.s.Run(warmUp)
	f.counting = true
	victim := f.vms[f.rnd.IntN(n)].self.ID
	at := f.s.Now()
	f.dead[victim] = at
	f.s.Run(measuredFor)
	r := Result{
		Detection:     newHistogram(),
		FalseRemovals: f.falseRemovals,
		Bytes:         float64(f.bytes) / float64(n) / measuredFor.Seconds(),
	}
	for _, x := range f.vms {
		if x.self.ID == victim {
			continue
		}
		removed, ok := x.removedAt[victim]
		if !ok {
			r.Missed++
			continue
		}
		_ = r.Detection.RecordValue(removed.Sub(at).Milliseconds())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, measuredFor.Milliseconds()*2, 3)
}

// measureSeeds runs seeds 1 to seeds, up to parallel at once, and merges their results.
func measureSeeds(n int, loss float64, seeds, parallel int) Result {
	all := make([]Result, seeds)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range seeds {
		group.Go(func() error {
			all[i] = MeasureFailure(n, loss, uint64(i+1))
			return nil
		})
	}
	_ = group.Wait()
	sum := Result{Detection: newHistogram()}
	for _, r := range all {
		sum.Detection.Merge(r.Detection)
		sum.Missed += r.Missed
		sum.FalseRemovals += r.FalseRemovals
		sum.Bytes += r.Bytes / float64(seeds)
	}
	return sum
}

// fleetSizes are the fleet sizes of the runs. The larger ones use fewer seeds.
var fleetSizes = []struct{ n, seeds int }{{9, 20}, {27, 20}, {81, 10}, {243, 4}, {729, 2}}

// Membership prints how soon a VM failure is detected, and the bytes sent for it.
func Membership(out io.Writer, parallel int) error {
	table := report.Table{
		Title: "Membership: one VM dies, the list goes on naming it",
		Header: []string{"VMs", "loss", "seeds", "dropped p50", "p99", "max", "missed",
			"dropped though up", "sent by a VM"},
	}
	for _, size := range fleetSizes {
		for _, loss := range []float64{0, 0.05} {
			r := measureSeeds(size.n, loss, size.seeds, parallel)
			table.Add(size.n, report.Percent(loss), size.seeds, seconds(r.Detection.ValueAtQuantile(50)),
				seconds(r.Detection.ValueAtQuantile(99)), seconds(r.Detection.Max()),
				r.Missed, r.FalseRemovals, fmt.Sprintf("%.1f KB/s", r.Bytes/1000))
		}
	}
	return table.Print(out)
}

func seconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }

// storeSizes are the fleet sizes of StoreCalls. Each fleet has as many groups as VMs.
var storeSizes = []int{3, 9, 30, 100, 300, 1000, 2900}

const (
	// These are the daemon's settings. Every leaseRenew, a group's lease is renewed, and is read by
	// the group's other probers. Designated watchers read the VM list every listInterval, the other
	// VMs at most every nonWatcherListInterval.
	leaseRenew             = 2 * time.Second
	nonWatcherListInterval = 30 * time.Second
	watchWait              = 20 * time.Second
	// watchersPerZone is the number of designated watchers in each zone, prefixesPerWatcher the
	// number of prefixes that each of them watches.
	watchersPerZone    = 2
	prefixesPerWatcher = 3
	probers            = 5
	// changesPerNode is the number of changes a second for each node: the planned 6,500 changes a
	// day over 2,900 nodes.
	changesPerNode = 6500.0 / 2900 / 86400
	// writesPerChange is the number of store writes of one change: draft, review and publication,
	// and an audit entry for each.
	writesPerChange = 6
)

// StoreCalls prints the calculated calls to the store per second and purpose by the number of VMs
// and groups.
func StoreCalls(out io.Writer) error {
	table := report.Table{
		Title: "Calls to the store a second (worked out from the settings)",
		Header: []string{"VMs and groups", "lease, every 2 s", "lease, budget", "VM list", "watches",
			"changes", "sum, lease every 2 s", "sum, lease by budget"},
	}
	b := ownership.DefaultBudget()
	for _, n := range storeSizes {
		requesters := n * min(n, probers)
		fixed := float64(requesters) / leaseRenew.Seconds()
		lease := calls(b, store.PurposeLease, requesters, leaseRenew)
		watching := watcherCount(n)
		list := float64(watching)/listInterval.Seconds() +
			float64(n-watching)/b.Interval(store.PurposeVMs, n, nonWatcherListInterval).Seconds()
		watches := float64(watching*prefixesPerWatcher) / watchWait.Seconds()
		changes := float64(n) * changesPerNode * writesPerChange
		other := list + watches + changes
		table.Add(n, fixed, lease, list, watches, changes, fixed+other, lease+other)
	}
	return table.Print(out)
}

func calls(b ownership.Budget, p store.Purpose, n int, least time.Duration) float64 {
	return float64(n) / b.Interval(p, n, least).Seconds()
}

func watcherCount(n int) int {
	var vms []membership.VM
	for i := range n {
		vms = append(vms, membership.VM{ID: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%min(zones, n))})
	}
	return len(ownership.NewRing(vms).Watchers("store-watch", watchersPerZone))
}

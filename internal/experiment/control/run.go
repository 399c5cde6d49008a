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

// Result is what a fleet of one size showed when one of its VMs died.
type Result struct {
	// Detection is the time until each survivor dropped the dead VM, in ms.
	Detection *hdrhistogram.Histogram
	// Missed are survivors that had not dropped it when the run ended.
	Missed int
	// Falsely are removals of VMs that were up.
	Falsely int
	// Bytes is what one VM sent a second.
	Bytes float64
}

// Die kills one VM of n and watches the others.
func Die(n int, loss float64, seed uint64) Result {
	f := newFleet(n, loss, seed)
	f.start()
	f.s.Run(warmUp)
	f.counting = true
	victim := f.vms[f.rnd.IntN(n)].self.ID
	at := f.s.Now()
	f.dead[victim] = at
	f.s.Run(observed)
	r := Result{
		Detection: newHistogram(),
		Falsely:   f.falsely,
		Bytes:     float64(f.bytes) / float64(n) / observed.Seconds(),
	}
	for _, x := range f.vms {
		if x.self.ID == victim {
			continue
		}
		dropped, ok := x.dropped[victim]
		if !ok {
			r.Missed++
			continue
		}
		_ = r.Detection.RecordValue(dropped.Sub(at).Milliseconds())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, observed.Milliseconds()*2, 3)
}

// dieSeeds adds several seeds up.
func dieSeeds(n int, loss float64, seeds, parallel int) Result {
	all := make([]Result, seeds)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range seeds {
		group.Go(func() error {
			all[i] = Die(n, loss, uint64(i+1))
			return nil
		})
	}
	_ = group.Wait()
	sum := Result{Detection: newHistogram()}
	for _, r := range all {
		sum.Detection.Merge(r.Detection)
		sum.Missed += r.Missed
		sum.Falsely += r.Falsely
		sum.Bytes += r.Bytes / float64(seeds)
	}
	return sum
}

// fleetSizes of the runs; the larger ones use fewer seeds.
var fleetSizes = []struct{ n, seeds int }{{9, 20}, {27, 20}, {81, 10}, {243, 4}, {729, 2}}

// Membership prints how soon a death is known and what it costs.
func Membership(out io.Writer, parallel int) error {
	table := report.Table{
		Title: "Membership: one VM dies, the list goes on naming it",
		Header: []string{"VMs", "loss", "seeds", "dropped p50", "p99", "max", "missed",
			"dropped though up", "sent by a VM"},
	}
	for _, size := range fleetSizes {
		for _, loss := range []float64{0, 0.05} {
			r := dieSeeds(size.n, loss, size.seeds, parallel)
			table.Add(size.n, report.Percent(loss), size.seeds, seconds(r.Detection.ValueAtQuantile(50)),
				seconds(r.Detection.ValueAtQuantile(99)), seconds(r.Detection.Max()),
				r.Missed, r.Falsely, fmt.Sprintf("%.1f KB/s", r.Bytes/1000))
		}
	}
	return table.Print(out)
}

func seconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }

// storeSizes are VMs and groups, in equal number.
var storeSizes = []int{3, 9, 30, 100, 300, 1000, 2900}

const (
	// These are the daemon's settings: leases are renewed, and read by the
	// group's other probers, every leaseRenew; watchers read the list every
	// listEvery and the other VMs no more often than every listSeldom.
	leaseRenew = 2 * time.Second
	listSeldom = 30 * time.Second
	watchWait  = 20 * time.Second
	// perZone VMs of each zone watch, prefixes each.
	perZone  = 2
	prefixes = 3
	probers  = 5
	// changesPerNode is the letter's 6,500 changes a day over 2,900 nodes.
	changesPerNode = 6500.0 / 2900 / 86400
	// writesPerChange are the store writes of one change: draft, review,
	// publication and an audit entry for each.
	writesPerChange = 6
)

// StoreCalls prints the calls a second by purpose as VMs and groups grow.
func StoreCalls(out io.Writer) error {
	table := report.Table{
		Title: "Calls to the store a second (worked out from the settings)",
		Header: []string{"VMs and groups", "lease, every 2 s", "lease, budget", "VM list", "watches",
			"changes", "sum, lease every 2 s", "sum, lease by budget"},
	}
	b := ownership.DefaultBudget()
	for _, n := range storeSizes {
		askers := n * min(n, probers)
		fixed := float64(askers) / leaseRenew.Seconds()
		lease := calls(b, store.PurposeLease, askers, leaseRenew)
		watching := watchersOf(n)
		list := float64(watching)/listEvery.Seconds() +
			float64(n-watching)/b.Interval(store.PurposeVMs, n, listSeldom).Seconds()
		watches := float64(watching*prefixes) / watchWait.Seconds()
		changes := float64(n) * changesPerNode * writesPerChange
		rest := list + watches + changes
		table.Add(n, fixed, lease, list, watches, changes, fixed+rest, lease+rest)
	}
	return table.Print(out)
}

func calls(b ownership.Budget, p store.Purpose, n int, least time.Duration) float64 {
	return float64(n) / b.Interval(p, n, least).Seconds()
}

func watchersOf(n int) int {
	var vms []membership.VM
	for i := range n {
		vms = append(vms, membership.VM{ID: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%min(zones, n))})
	}
	return len(ownership.NewRing(vms).Watchers("store-watch", perZone))
}

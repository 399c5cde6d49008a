package controller

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/store"
)

// unlistedRetention is how long a VM that is not in the platform's list is still shown after its
// last report.
const unlistedRetention = 10 * time.Minute

// Fleet records which configuration each VM has in force, as reported by the VM itself and
// forwarded by peers, and the age of each report. Nothing of it is written to the store: any
// daemon can answer for the whole fleet.
type Fleet struct {
	clk  clock.Clock
	self string

	mu      sync.Mutex
	reports map[string]*vmReport
	listed  map[string]bool
}

// vmReport is the last report of a VM about itself.
type vmReport struct {
	zone        string
	incarnation uint64
	generation  uint64
	leaving     bool
	// reportedAt is when the VM made the report. It is valid if reported is set.
	reportedAt clock.Time
	reported   bool
}

// FleetVM is the reported state of one VM of the fleet.
type FleetVM struct {
	VM         string             `json:"vm"`
	Zone       string             `json:"zone"`
	Generation profile.Generation `json:"generation"`
	// ReportAgeMS is the age of the VM's report in milliseconds, or -1 if none was received. It
	// does not include the transit time, which is below a second a hop.
	ReportAgeMS int64 `json:"heard_ms_ago"`
	Leaving     bool  `json:"leaving"`
}

// NewFleet returns a Fleet without any VM. self is the ID of this VM.
func NewFleet(clk clock.Clock, self string) *Fleet {
	return &Fleet{clk: clk, self: self, reports: map[string]*vmReport{}, listed: map[string]bool{}}
}

// RecordReport records the report of a VM, received from the VM itself or forwarded by a peer.
//
// Failure guarded against: a VM is partitioned for an hour while a new set is published, and is
// shown as current because peers keep forwarding its record. Each report therefore carries its
// age, and a record without a report adds no generation and no age. Within one incarnation, only a
// greater generation or a more recent report replaces the recorded one; the first record of a later
// incarnation discards what the earlier one reported.
func (f *Fleet) RecordReport(m *peerpb.Member) {
	if m.GetVm() == "" || m.GetVm() == f.self {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.ensure(m.GetVm(), m.GetZone())
	if m.GetIncarnation() < r.incarnation {
		return
	}
	if m.GetIncarnation() > r.incarnation {
		*r = vmReport{zone: m.GetZone(), incarnation: m.GetIncarnation()}
	}
	if m.GetSaid() == nil {
		return
	}
	r.generation = max(r.generation, m.GetSaid().GetGeneration())
	r.leaving = r.leaving || m.GetLeaving()
	at := f.clk.Now().Add(-time.Duration(m.GetSaid().GetAgeMs()) * time.Millisecond)
	if !r.reported || at.After(r.reportedAt) {
		r.reportedAt, r.reported = at, true
	}
}

// RecordListed records the platform's list of VMs. A listed VM is shown even if it never sent a
// report.
func (f *Fleet) RecordListed(vms []store.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.listed)
	for _, vm := range vms {
		f.listed[vm.ID] = true
		if vm.ID != f.self {
			f.ensure(vm.ID, vm.Zone)
		}
	}
	now := f.clk.Now()
	maps.DeleteFunc(f.reports, func(id string, r *vmReport) bool {
		return !f.listed[id] && (!r.reported || now.Sub(r.reportedAt) > unlistedRetention)
	})
}

func (f *Fleet) ensure(id, zone string) *vmReport {
	r := f.reports[id]
	if r == nil {
		r = &vmReport{zone: zone}
		f.reports[id] = r
	}
	return r
}

// withReport adds the recorded report of the VM to its record, if both belong to the same
// incarnation.
func (f *Fleet) withReport(m *peerpb.Member) *peerpb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reports[m.GetVm()]
	if r == nil || !r.reported || r.incarnation != m.GetIncarnation() {
		return m
	}
	m.Said = &peerpb.Said{Generation: r.generation, AgeMs: uint64(f.age(r))}
	return m
}

func (f *Fleet) age(r *vmReport) int64 {
	return max(f.clk.Now().Sub(r.reportedAt), 0).Milliseconds()
}

// VMs returns all VMs except this one, sorted by ID.
func (f *Fleet) VMs() []FleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]FleetVM, 0, len(f.reports))
	for id, r := range f.reports {
		vm := FleetVM{VM: id, Zone: r.zone, Generation: profile.Generation(r.generation), ReportAgeMS: -1, Leaving: r.leaving}
		if r.reported {
			vm.ReportAgeMS = f.age(r)
		}
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b FleetVM) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

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

// forgetUnlisted is how long a VM that the platform does not list stays in the
// fleet's view after its last word.
const forgetUnlisted = 10 * time.Minute

// Fleet knows which configuration each VM has in force, by the VM's own word as
// it came here through peers, and how old that word is. Nobody writes it to the
// store: any daemon can answer for all.
type Fleet struct {
	clk  clock.Clock
	self string

	mu     sync.Mutex
	words  map[string]*word
	listed map[string]bool
}

// word is what a VM last said of itself.
type word struct {
	zone        string
	incarnation uint64
	generation  uint64
	leaving     bool
	// said is when the VM said it, valid if spoke.
	said  clock.Time
	spoke bool
}

// FleetVM is one VM in the fleet's view.
type FleetVM struct {
	VM         string             `json:"vm"`
	Zone       string             `json:"zone"`
	Generation profile.Generation `json:"generation"`
	// HeardMS is the age of the VM's word in milliseconds; -1 if it never came.
	// The time that the word was on its way is not in it: below a second a hop.
	HeardMS int64 `json:"heard_ms_ago"`
	Leaving bool  `json:"leaving"`
}

// NewFleet returns a view that knows of no VM.
func NewFleet(clk clock.Clock, self string) *Fleet {
	return &Fleet{clk: clk, self: self, words: map[string]*word{}, listed: map[string]bool{}}
}

// Hear takes a VM's word, from itself or passed on.
//
// Failure guarded against: a VM is cut off for an hour while a new set is
// published, and shows as current because peers keep passing its record on. The
// age travels with the word, a word without one counts for nothing, and of one
// incarnation only a greater generation or a younger word replaces what is known.
func (f *Fleet) Hear(m *peerpb.Member) {
	if m.GetVm() == "" || m.GetVm() == f.self {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.ensure(m.GetVm(), m.GetZone())
	if m.GetIncarnation() < w.incarnation {
		return
	}
	if m.GetIncarnation() > w.incarnation {
		*w = word{zone: m.GetZone(), incarnation: m.GetIncarnation()}
	}
	if m.GetSaid() == nil {
		return
	}
	w.generation = max(w.generation, m.GetSaid().GetGeneration())
	w.leaving = w.leaving || m.GetLeaving()
	at := f.clk.Now().Add(-time.Duration(m.GetSaid().GetAgeMs()) * time.Millisecond)
	if !w.spoke || at.After(w.said) {
		w.said, w.spoke = at, true
	}
}

// List takes the platform's list: a VM on it is shown also if it never spoke.
func (f *Fleet) List(vms []store.VM) {
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
	maps.DeleteFunc(f.words, func(id string, w *word) bool {
		return !f.listed[id] && (!w.spoke || now.Sub(w.said) > forgetUnlisted)
	})
}

func (f *Fleet) ensure(id, zone string) *word {
	w := f.words[id]
	if w == nil {
		w = &word{zone: zone}
		f.words[id] = w
	}
	return w
}

// said adds what is known of the VM to its record. Only the word of the record's
// own incarnation goes with it.
func (f *Fleet) said(m *peerpb.Member) *peerpb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.words[m.GetVm()]
	if w == nil || !w.spoke || w.incarnation != m.GetIncarnation() {
		return m
	}
	m.Said = &peerpb.Said{Generation: w.generation, AgeMs: uint64(f.age(w))}
	return m
}

func (f *Fleet) age(w *word) int64 {
	return max(f.clk.Now().Sub(w.said), 0).Milliseconds()
}

// VMs returns all VMs but this one, sorted by id.
func (f *Fleet) VMs() []FleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]FleetVM, 0, len(f.words))
	for id, w := range f.words {
		vm := FleetVM{VM: id, Zone: w.zone, Generation: profile.Generation(w.generation), HeardMS: -1, Leaving: w.leaving}
		if w.spoke {
			vm.HeardMS = f.age(w)
		}
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b FleetVM) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/experiment/sim"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/store"
)

const (
	zones     = 6
	interval  = 500 * time.Millisecond
	listEvery = 5 * time.Second
	// listLag is how long the platform goes on listing a VM that died.
	listLag  = 60 * time.Second
	hop      = time.Millisecond
	warmUp   = 20 * time.Second
	observed = 60 * time.Second
)

// fleet is n machines that exchange records.
type fleet struct {
	s    *sim.Scheduler
	rnd  *rand.Rand
	loss float64
	vms  []*vm
	byID map[string]*vm
	dead map[string]clock.Time
	// bytes counts what all VMs sent after the warm-up.
	bytes    int
	counting bool
	// falsely counts removals of VMs that were up.
	falsely int
}

// vm is one member with what it believed last.
type vm struct {
	self    membership.VM
	machine *membership.Machine
	live    map[string]bool
	// dropped is when it dropped a VM that had died.
	dropped map[string]clock.Time
}

func newFleet(n int, loss float64, seed uint64) *fleet {
	f := &fleet{
		s: sim.New(), rnd: rand.New(rand.NewPCG(seed, 3)), loss: loss,
		byID: make(map[string]*vm), dead: make(map[string]clock.Time),
	}
	for i := range n {
		self := membership.VM{
			ID:   fmt.Sprintf("vm-%04d", i),
			Zone: fmt.Sprintf("zone-%d", i%zones),
			Addr: "192.0.2.100:7441",
		}
		cfg := membership.Config{Interval: interval, Incarnation: seed + 1, Seed: seed*10000 + uint64(i)}
		x := &vm{self: self, machine: membership.New(cfg, self), dropped: make(map[string]clock.Time)}
		f.vms = append(f.vms, x)
		f.byID[self.ID] = x
	}
	return f
}

func (f *fleet) start() {
	for _, x := range f.vms {
		f.list(x)
		f.s.After(time.Duration(f.rnd.Int64N(int64(interval))), func() {
			f.s.Every(interval, func() { f.step(x, membership.Tick{}) })
		})
		f.s.After(time.Duration(f.rnd.Int64N(int64(listEvery))), func() {
			f.s.Every(listEvery, func() { f.list(x) })
		})
	}
}

func (f *fleet) down(id string) bool { _, ok := f.dead[id]; return ok }

// list reads the platform's lagging list.
func (f *fleet) list(x *vm) {
	var e membership.Listed
	for _, y := range f.vms {
		if at, gone := f.dead[y.self.ID]; gone && f.s.Now().Sub(at) > listLag {
			continue
		}
		e.VMs = append(e.VMs, store.VM{ID: y.self.ID, Zone: y.self.Zone, Addr: y.self.Addr})
	}
	f.step(x, e)
}

func (f *fleet) step(x *vm, ev membership.Event) {
	if f.down(x.self.ID) {
		return
	}
	for _, a := range x.machine.Step(f.s.Now(), ev) {
		switch a := a.(type) {
		case membership.Exchange:
			f.exchange(x, a.With)
		case membership.Changed:
			f.changed(x)
		}
	}
}

// exchange carries one request and its reply, either of which may be lost.
func (f *fleet) exchange(x *vm, with membership.VM) {
	request := f.message(x)
	f.s.After(hop, func() {
		y := f.byID[with.ID]
		if f.down(with.ID) || f.rnd.Float64() < f.loss {
			f.s.After(hop, func() { f.step(x, membership.Unanswered{ID: with.ID}) })
			return
		}
		f.step(y, request)
		reply := f.message(y)
		lost := f.rnd.Float64() < f.loss
		f.s.After(hop, func() {
			if lost {
				f.step(x, membership.Unanswered{ID: with.ID})
				return
			}
			f.step(x, reply)
		})
	})
}

func (f *fleet) message(x *vm) membership.Exchanged {
	m := membership.Exchanged{From: x.machine.Self(), Others: x.machine.Records(f.s.Now())}
	if f.counting {
		f.bytes += size(m)
	}
	return m
}

// size is the message's length on the wire, without headers.
func size(m membership.Exchanged) int {
	n := recordSize(m.From)
	for _, r := range m.Others {
		n += recordSize(r)
	}
	return n
}

// fieldOverhead is the tag and length of a record within its message.
const fieldOverhead = 2

func recordSize(r membership.Record) int {
	return fieldOverhead + proto.Size(&peerpb.Member{
		Vm: r.VM.ID, Zone: r.VM.Zone, Addr: r.VM.Addr, Incarnation: uint64(time.Second) * 1_800_000_000,
		HeardMs: uint64(r.ContactAge.Milliseconds()), Leaving: r.Leaving,
	})
}

// changed notes what x dropped.
func (f *fleet) changed(x *vm) {
	next := make(map[string]bool)
	for _, v := range x.machine.Live() {
		next[v.ID] = true
	}
	for id := range x.live {
		if next[id] {
			continue
		}
		if f.down(id) {
			x.dropped[id] = f.s.Now()
		} else if f.counting {
			f.falsely++
		}
	}
	x.live = next
}

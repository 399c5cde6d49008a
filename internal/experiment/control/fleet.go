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
	zones            = 6
	exchangeInterval = 500 * time.Millisecond
	listInterval     = 5 * time.Second
	// listLag is how long the platform still lists a VM that failed.
	listLag      = 60 * time.Second
	messageDelay = time.Millisecond
	warmUp       = 20 * time.Second
	measuredFor  = 60 * time.Second
)

// fleet is a simulated fleet whose membership machines exchange records.
type fleet struct {
	s    *sim.Scheduler
	rnd  *rand.Rand
	loss float64
	vms  []*vm
	byID map[string]*vm
	dead map[string]clock.Time
	// bytes is the number of bytes that all VMs sent after the warm-up.
	bytes    int
	counting bool
	// falseRemovals is the number of removals of live VMs after the warm-up.
	falseRemovals int
}

// vm is one member and its newest membership state.
type vm struct {
	self    membership.VM
	machine *membership.Machine
	live    map[string]bool
	// removedAt is the time at which this VM removed each failed VM.
	removedAt map[string]clock.Time
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
		cfg := membership.Config{Interval: exchangeInterval, Incarnation: seed + 1, Seed: seed*10000 + uint64(i)}
		x := &vm{self: self, machine: membership.New(cfg, self), removedAt: make(map[string]clock.Time)}
		f.vms = append(f.vms, x)
		f.byID[self.ID] = x
	}
	return f
}

func (f *fleet) start() {
	for _, x := range f.vms {
		f.readList(x)
		f.s.After(time.Duration(f.rnd.Int64N(int64(exchangeInterval))), func() {
			f.s.Every(exchangeInterval, func() { f.step(x, membership.Tick{}) })
		})
		f.s.After(time.Duration(f.rnd.Int64N(int64(listInterval))), func() {
			f.s.Every(listInterval, func() { f.readList(x) })
		})
	}
}

func (f *fleet) isDead(id string) bool { _, ok := f.dead[id]; return ok }

// readList passes the platform's lagging VM list to x.
func (f *fleet) readList(x *vm) {
	var e membership.Listed
	for _, y := range f.vms {
		if at, dead := f.dead[y.self.ID]; dead && f.s.Now().Sub(at) > listLag {
			continue
		}
		e.VMs = append(e.VMs, store.VM{ID: y.self.ID, Zone: y.self.Zone, Addr: y.self.Addr})
	}
	f.step(x, e)
}

func (f *fleet) step(x *vm, ev membership.Event) {
	if f.isDead(x.self.ID) {
		return
	}
	for _, a := range x.machine.Step(f.s.Now(), ev) {
		switch a := a.(type) {
		case membership.Exchange:
			f.exchange(x, a.With)
		case membership.Changed:
			f.recordRemovals(x)
		}
	}
}

// exchange transmits one request and its reply, either of which may be lost.
func (f *fleet) exchange(x *vm, with membership.VM) {
	request := f.newMessage(x)
	f.s.After(messageDelay, func() {
		y := f.byID[with.ID]
		if f.isDead(with.ID) || f.rnd.Float64() < f.loss {
			f.s.After(messageDelay, func() { f.step(x, membership.Unanswered{ID: with.ID}) })
			return
		}
		f.step(y, request)
		reply := f.newMessage(y)
		lost := f.rnd.Float64() < f.loss
		f.s.After(messageDelay, func() {
			if lost {
				f.step(x, membership.Unanswered{ID: with.ID})
				return
			}
			f.step(x, reply)
		})
	})
}

func (f *fleet) newMessage(x *vm) membership.Exchanged {
	m := membership.Exchanged{From: x.machine.Self(), Others: x.machine.Records(f.s.Now())}
	if f.counting {
		f.bytes += size(m)
	}
	return m
}

// size returns the message's length on the wire, without headers.
func size(m membership.Exchanged) int {
	n := recordSize(m.From)
	for _, r := range m.Others {
		n += recordSize(r)
	}
	return n
}

// fieldOverhead is the number of bytes for the tag and length of a record within its message.
const fieldOverhead = 2

func recordSize(r membership.Record) int {
	return fieldOverhead + proto.Size(&peerpb.Member{
		Vm: r.VM.ID, Zone: r.VM.Zone, Addr: r.VM.Addr, Incarnation: uint64(time.Second) * 1_800_000_000,
		HeardMs: uint64(r.ContactAge.Milliseconds()), Leaving: r.Leaving,
	})
}

// recordRemovals records which VMs x removed since its previous membership state.
func (f *fleet) recordRemovals(x *vm) {
	next := make(map[string]bool)
	for _, v := range x.machine.Live() {
		next[v.ID] = true
	}
	for id := range x.live {
		if next[id] {
			continue
		}
		if f.isDead(id) {
			x.removedAt[id] = f.s.Now()
		} else if f.counting {
			f.falseRemovals++
		}
	}
	x.live = next
}

package controller

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer/peerpb"
)

// members returns this VM's own record and a bounded number of records of other VMs.
func (x *Exchange) members() (*peerpb.Member, []*peerpb.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var others []*peerpb.Member
	for _, r := range x.machine.Records(x.clk.Now()) {
		others = append(others, x.fleet.withReport(memberMessage(r)))
	}
	self := memberMessage(x.machine.Self())
	self.Said = &peerpb.Said{Generation: uint64(x.config.Current().Generation)}
	return self, others
}

func memberMessage(r membership.Record) *peerpb.Member {
	return &peerpb.Member{
		Vm:          r.VM.ID,
		Zone:        r.VM.Zone,
		Addr:        r.VM.Addr,
		Incarnation: r.Incarnation,
		HeardMs:     uint64(max(r.ContactAge, 0).Milliseconds()),
		Leaving:     r.Leaving,
	}
}

func memberRecord(m *peerpb.Member) membership.Record {
	return membership.Record{
		VM:          membership.VM{ID: m.GetVm(), Zone: m.GetZone(), Addr: m.GetAddr()},
		Incarnation: m.GetIncarnation(),
		ContactAge:  time.Duration(m.GetHeardMs()) * time.Millisecond,
		Leaving:     m.GetLeaving(),
	}
}

func (x *Exchange) mergeMembers(ctx context.Context, from *peerpb.Member, others []*peerpb.Member) {
	if from.GetVm() == "" {
		return
	}
	ev := membership.Exchanged{From: memberRecord(from)}
	x.fleet.RecordReport(from)
	for _, m := range others {
		x.fleet.RecordReport(m)
		ev.Others = append(ev.Others, memberRecord(m))
	}
	x.step(ctx, ev)
}

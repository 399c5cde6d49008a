package controller

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/store"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ now clock.Time }

func (c *fakeClock) Now() clock.Time { return c.now }

func reportOf(vm string, incarnation, generation, ageMS uint64) *peerpb.Member {
	return &peerpb.Member{Vm: vm, Zone: "z", Incarnation: incarnation, Said: &peerpb.Said{Generation: generation, AgeMs: ageMS}}
}

func newFleet() (*Fleet, *fakeClock) {
	clk := &fakeClock{now: clock.Time(24 * time.Hour)}
	return NewFleet(clk, "p0"), clk
}

// An operator publishes while p3 is partitioned and checks an hour later whether all VMs have the
// set. Peers still forward p3's old record, each at its own time. p3 must be shown with its old
// generation and the true age of its report, never as current.
func TestPartitionedVMKeepsTheAgeOfItsReport(t *testing.T) {
	f, clk := newFleet()
	f.RecordReport(reportOf("p3", 1, 5, 0))
	clk.now = clk.now.Add(time.Hour)
	f.RecordReport(reportOf("p3", 1, 5, uint64(time.Hour.Milliseconds())))
	f.RecordReport(&peerpb.Member{Vm: "p3", Zone: "z", Incarnation: 1})
	f.RecordListed([]store.VM{{ID: "p3", Zone: "z"}})
	require.Equal(t, []FleetVM{{VM: "p3", Zone: "z", Generation: 5, ReportAgeMS: time.Hour.Milliseconds()}}, f.VMs())
	m := f.withReport(&peerpb.Member{Vm: "p3", Incarnation: 1})
	require.EqualValues(t, time.Hour.Milliseconds(), m.GetSaid().GetAgeMs(), "the record is forwarded with the age of its report")
}

// p3 restarts during an outage and has no configuration yet. A delayed report of its former
// incarnation states that it has the newest set. An operator must not be shown that generation.
func TestReportOfAFormerIncarnationIsIgnored(t *testing.T) {
	f, _ := newFleet()
	f.RecordReport(reportOf("p3", 1, 6, 0))
	f.RecordReport(reportOf("p3", 2, 0, 0))
	f.RecordReport(reportOf("p3", 1, 6, 0))
	require.Zero(t, f.VMs()[0].Generation)
	f.RecordReport(&peerpb.Member{Vm: "p3", Zone: "z", Incarnation: 3})
	require.EqualValues(t, -1, f.VMs()[0].ReportAgeMS, "the restart has been reported, but not the configuration")
	require.Nil(t, f.withReport(&peerpb.Member{Vm: "p3", Incarnation: 1}).GetSaid(), "a report is not added to the record of another incarnation")
}

// A report is delayed and arrives after a more recent one. The generation must not decrease, and
// the age of the more recent report is kept.
func TestDelayedReportDoesNotReplaceANewerOne(t *testing.T) {
	f, _ := newFleet()
	f.RecordReport(reportOf("p3", 1, 6, 100))
	f.RecordReport(reportOf("p3", 1, 5, 900))
	require.Equal(t, []FleetVM{{VM: "p3", Zone: "z", Generation: 6, ReportAgeMS: 100}}, f.VMs())
}

// VMs are replaced all day under new names. A VM that the platform no longer lists is removed
// after unlistedRetention; a listed VM stays even if it sends no reports.
func TestReplacedVMsAreForgotten(t *testing.T) {
	f, clk := newFleet()
	f.RecordReport(reportOf("replaced", 1, 6, 0))
	f.RecordListed([]store.VM{{ID: "p0"}, {ID: "new", Zone: "z"}})
	require.Len(t, f.VMs(), 2, "the list lags, so an unlisted VM with a report is retained for a time")
	clk.now = clk.now.Add(unlistedRetention + time.Second)
	f.RecordListed([]store.VM{{ID: "new", Zone: "z"}})
	require.Equal(t, []FleetVM{{VM: "new", Zone: "z", ReportAgeMS: -1}}, f.VMs())
}

// p1 and p3 exchange messages only with p2. Every daemon that an operator queries must return what
// all three have in force.
func TestReportsAreForwardedByPeers(t *testing.T) {
	p1, _ := newNode(t, "p1")
	p2, vm2 := newNode(t, "p2")
	p3, vm3 := newNode(t, "p3")
	require.True(t, p3.config.Offer(published(4, "4s"), "store"))
	p2.exchangeWith(context.Background(), vm3)
	require.Eventually(t, func() bool {
		p1.exchangeWith(context.Background(), vm2)
		known := p1.Fleet()
		return len(known) == 3 && known[2].VM == "p3" && known[2].Generation == profile.Generation(4) && known[2].ReportAgeMS >= 0
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, "p1", p1.Fleet()[0].VM)
	require.Equal(t, profile.Generation(4), p2.config.Current().Generation)
}

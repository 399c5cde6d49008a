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

// handClock shows what a test sets.
type handClock struct{ now clock.Time }

func (c *handClock) Now() clock.Time { return c.now }

func says(vm string, incarnation, generation, ageMS uint64) *peerpb.Member {
	return &peerpb.Member{Vm: vm, Zone: "z", Incarnation: incarnation, Said: &peerpb.Said{Generation: generation, AgeMs: ageMS}}
}

func newFleet() (*Fleet, *handClock) {
	clk := &handClock{now: clock.Time(24 * time.Hour)}
	return NewFleet(clk, "p0"), clk
}

// An operator publishes while p3 is cut off and asks an hour later if all have
// the set. Peers still pass p3's old record on, each at its own time. p3 must
// show with its old generation and the true age of its word, never as current.
func TestCutOffVMKeepsItsAge(t *testing.T) {
	f, clk := newFleet()
	f.Hear(says("p3", 1, 5, 0))
	clk.now = clk.now.Add(time.Hour)
	f.Hear(says("p3", 1, 5, uint64(time.Hour.Milliseconds())))
	f.Hear(&peerpb.Member{Vm: "p3", Zone: "z", Incarnation: 1})
	f.List([]store.VM{{ID: "p3", Zone: "z"}})
	require.Equal(t, []FleetVM{{VM: "p3", Zone: "z", Generation: 5, HeardMS: time.Hour.Milliseconds()}}, f.VMs())
	m := f.said(&peerpb.Member{Vm: "p3", Incarnation: 1})
	require.EqualValues(t, time.Hour.Milliseconds(), m.GetSaid().GetAgeMs(), "and passes it on with its age")
}

// p3 restarts during an outage and has nothing yet. A late word of its former
// run says that it has the newest set: an operator must not be told so.
func TestFormerRunVouchesForNothing(t *testing.T) {
	f, _ := newFleet()
	f.Hear(says("p3", 1, 6, 0))
	f.Hear(says("p3", 2, 0, 0))
	f.Hear(says("p3", 1, 6, 0))
	require.Zero(t, f.VMs()[0].Generation)
	f.Hear(&peerpb.Member{Vm: "p3", Zone: "z", Incarnation: 3})
	require.EqualValues(t, -1, f.VMs()[0].HeardMS, "it is known to have started again, not what it has")
	require.Nil(t, f.said(&peerpb.Member{Vm: "p3", Incarnation: 1}).GetSaid(), "no word goes with another run's record")
}

// A word takes a detour and arrives after a younger one. A generation that the
// VM had is not taken back, and the younger age stands.
func TestLateWordTakesNothingBack(t *testing.T) {
	f, _ := newFleet()
	f.Hear(says("p3", 1, 6, 100))
	f.Hear(says("p3", 1, 5, 900))
	require.Equal(t, []FleetVM{{VM: "p3", Zone: "z", Generation: 6, HeardMS: 100}}, f.VMs())
}

// VMs are replaced all day under new names. One that the platform no longer
// lists goes from the view after a while; a listed one stays, also when silent.
func TestReplacedVMsAreForgotten(t *testing.T) {
	f, clk := newFleet()
	f.Hear(says("gone", 1, 6, 0))
	f.List([]store.VM{{ID: "p0"}, {ID: "new", Zone: "z"}})
	require.Len(t, f.VMs(), 2, "the list lags, so a word alone counts for a while")
	clk.now = clk.now.Add(forgetUnlisted + time.Second)
	f.List([]store.VM{{ID: "new", Zone: "z"}})
	require.Equal(t, []FleetVM{{VM: "new", Zone: "z", HeardMS: -1}}, f.VMs())
}

// Three daemons in a row, p1 and p3 never speak to each other. Any daemon that
// an operator asks must know what all three have in force.
func TestWordsTravelThroughPeers(t *testing.T) {
	p1, _ := newNode(t, "p1")
	p2, vm2 := newNode(t, "p2")
	p3, vm3 := newNode(t, "p3")
	require.True(t, p3.config.Offer(published(4, "4s"), "store"))
	p2.exchangeWith(context.Background(), vm3)
	require.Eventually(t, func() bool {
		p1.exchangeWith(context.Background(), vm2)
		known := p1.Fleet()
		return len(known) == 3 && known[2].VM == "p3" && known[2].Generation == profile.Generation(4) && known[2].HeardMS >= 0
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, "p1", p1.Fleet()[0].VM)
	require.Equal(t, profile.Generation(4), p2.config.Current().Generation)
}

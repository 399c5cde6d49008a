package controller

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// frozenDB accepts a call and never answers.
type frozenDB struct{ target.Database }

func (frozenDB) Status(ctx context.Context) (target.Status, error) {
	<-ctx.Done()
	return target.Status{}, ctx.Err()
}

func (frozenDB) Close(context.Context) error { return nil }

// The primary freezes under load. All three VMs suspect it and ask each other,
// but each asks the frozen server again before it answers, so every answer comes
// too late to count and callers wait for eleven seconds (seen on processes). A VM
// that watches the server must answer from what it has: here, for ever otherwise.
func TestPeersHearOfAFrozenServerAtOnce(t *testing.T) {
	clk := monotonic.New()
	dial := func(context.Context, target.ID, string) (target.Database, error) { return frozenDB{}, nil }
	views := view.NewHolder()
	views.Adopt(&view.Group{Name: "g", Term: 1, Servers: []view.Server{{ID: "a"}}})
	evidence := NewEvidence()
	o := Observer{Clock: clk, Views: views, Links: control.NewLinks(dial, clk, time.Hour, evidence.Add), Evidence: evidence}

	evidence.Add("a", control.Answer{Status: target.Status{Server: "a", Term: 1}, Asked: clk.Now(), Answered: clk.Now()}, nil)
	evidence.Add("a", control.Answer{Asked: clk.Now(), Answered: clk.Now()}, errors.New("no answer in time"))
	got := o.Observe(context.Background(), "g")
	require.Len(t, got, 1)
	require.False(t, got[0].GetNever())
	require.Equal(t, uint64(1), got[0].GetTerm())
}

// All daemons are replaced while the primary is dead (in a process test, killed
// within 40 ms of their start). Nobody has ever seen it alive, so nobody counted
// as a witness and the group had no primary for good.
func TestAVMThatWatchedInVainIsAWitness(t *testing.T) {
	vm := membership.VM{ID: "p2", Zone: "z2"}
	young := peer.Observation("g", "a", nil, 100*time.Millisecond)
	require.False(t, peerReport(vm, young).Seen, "it may just have started")
	old := peer.Observation("g", "a", nil, 3*time.Second)
	require.True(t, peerReport(vm, old).Seen)
	require.Equal(t, 3*time.Second, peerReport(vm, old).LastGood)
}

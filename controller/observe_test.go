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

// frozenDB accepts a call and never replies.
type frozenDB struct{ target.Database }

func (frozenDB) Status(ctx context.Context) (target.Status, error) {
	<-ctx.Done()
	return target.Status{}, ctx.Err()
}

func (frozenDB) Close(context.Context) error { return nil }

// The primary freezes under load. All three VMs suspect it and query each other. If each of them
// queried the frozen server again before it replies, every reply would arrive too late to count,
// and callers would wait for eleven seconds. A VM that polls the server must reply from its
// evidence; in this test any other reply never arrives.
func TestObserveDoesNotWaitForAFrozenServer(t *testing.T) {
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

// All daemons are replaced while the primary is dead, for example killed within 40 ms of their
// start. No daemon has ever received a reply from it. If that kept them from being witnesses, the
// group would stay without a primary.
func TestVMThatNeverReceivedAReplyIsAWitness(t *testing.T) {
	vm := membership.VM{ID: "p2", Zone: "z2"}
	started := peer.Observation("g", "a", nil, 100*time.Millisecond)
	require.False(t, peerReport(vm, started).Seen, "the daemon may have started only 100 ms ago")
	polled := peer.Observation("g", "a", nil, 3*time.Second)
	require.True(t, peerReport(vm, polled).Seen)
	require.Equal(t, 3*time.Second, peerReport(vm, polled).LastGood)
}

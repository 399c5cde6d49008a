package controller

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/control"
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

package promoter

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// designations notes the orders to promote.
type designations struct{ tokens []int64 }

func (d *designations) Promote(_ context.Context, _ string, token int64, _ string, _ target.ID) error {
	d.tokens = append(d.tokens, token)
	return nil
}

// restoredStore is a Config's view of a store that has come back.
func restoredStore(era int64, at clock.Time) Config {
	return Config{Node: "vm1", Clock: still{}, Log: zap.NewNop(), Catalog: catalog.NewHolder(),
		Era: func() int64 { return era }, RestoredAt: func() clock.Time { return at }}
}

// Guards against: a second holder while one whose record the store has lost still acts.
func TestNobodyActsRightAfterARestore(t *testing.T) {
	at := clock.Time(time.Second)
	p := New(restoredStore(2, at))
	require.True(t, p.restoredLately(at.Add(takeover.Settle-1)))
	require.False(t, p.restoredLately(at.Add(takeover.Settle)))
	require.Greater(t, takeover.Settle, takeover.Limit, "orders of the former era are over")
	require.False(t, New(restoredStore(1, 0)).restoredLately(at), "the first era is no restore")
}

// Guards against: an order under the token of an attempt that the store has forgotten.
func TestAttemptOfAnEarlierEraOrdersNothing(t *testing.T) {
	d := &designations{}
	cfg := restoredStore(2, clock.Time(time.Second))
	cfg.Platform = d
	g := groups.NewRegistry(groups.Config{Catalog: cfg.Catalog, Clock: cfg.Clock, Log: cfg.Log}).Group("s")
	a := &attempt{p: New(cfg), g: g, held: &catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(1, 450)}}
	require.ErrorIs(t, a.designate(context.Background(), "t"), errRestored)
	require.Empty(t, d.tokens)
	require.False(t, a.ordered)
	a.held = &catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 3)}
	require.NoError(t, a.designate(context.Background(), "t"))
	require.Greater(t, d.tokens[0], catalog.RevisionOf(1, 450), "tokens rise over eras")
}

// Guards against: targets that stay paused for good, as the record of who paused them is lost.
func TestOutdatedRecordIsTidiedOnceNobodyCanAct(t *testing.T) {
	p := New(restoredStore(2, clock.Time(time.Second)))
	start := clock.Time(time.Minute)
	for _, r := range []*catalog.LeadershipRecord{
		{Service: "s", Revision: catalog.RevisionOf(2, 7), Era: 1, Primary: "t"},
		{Service: "s", Lost: true},
	} {
		w := &watched{revision: r.Revision, seen: start}
		require.False(t, p.abandoned(r, w, "t", start.Add(takeover.Lapse-1)))
		require.True(t, p.abandoned(r, w, "t", start.Add(takeover.Lapse)))
	}
	now := &catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 7), Era: 2}
	require.False(t, p.abandoned(now, &watched{seen: start}, "t", start.Add(time.Hour)))
}

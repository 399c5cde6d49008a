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

// designations records the calls to promote.
type designations struct{ tokens []int64 }

func (d *designations) Promote(_ context.Context, _ string, token int64, _ string, _ target.ID) error {
	d.tokens = append(d.tokens, token)
	return nil
}

// restoredStore returns the Config for a store that was restored.
func restoredStore(era int64, at clock.Time) Config {
	return Config{Node: "vm1", Clock: fixedClock{}, Log: zap.NewNop(), Catalog: catalog.NewHolder(),
		Era: func() int64 { return era }, RestoredAt: func() clock.Time { return at }}
}

// Failure guarded against: a VM becomes a second holder while one whose record the store has lost
// still acts.
func TestSettlePeriodAfterStoreRestore(t *testing.T) {
	at := clock.Time(time.Second)
	p := New(restoredStore(2, at))
	require.True(t, p.restoredRecently(at.Add(takeover.SettlePeriod-1)))
	require.False(t, p.restoredRecently(at.Add(takeover.SettlePeriod)))
	require.Greater(t, takeover.SettlePeriod, takeover.PromotionLimit, "no call of the former era is still sent")
	require.False(t, New(restoredStore(1, 0)).restoredRecently(at), "the first era is no restore")
}

// Failure guarded against: an attempt whose record the store has lost sends a call under its token.
func TestAttemptOfEarlierEraSendsNoCall(t *testing.T) {
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
	require.Greater(t, d.tokens[0], catalog.RevisionOf(1, 450), "tokens increase from era to era")
}

// Failure guarded against: targets stay paused permanently, since the record of the attempt that
// paused them is lost.
func TestOutdatedRecordIsAbandonedAfterExpiry(t *testing.T) {
	p := New(restoredStore(2, clock.Time(time.Second)))
	start := clock.Time(time.Minute)
	for _, r := range []*catalog.LeadershipRecord{
		{Service: "s", Revision: catalog.RevisionOf(2, 7), Era: 1, Primary: "t"},
		{Service: "s", Lost: true},
	} {
		w := &serviceState{revision: r.Revision, revisionSeen: start}
		require.False(t, p.abandoned(r, w, "t", start.Add(takeover.ExpireAfter-1)))
		require.True(t, p.abandoned(r, w, "t", start.Add(takeover.ExpireAfter)))
	}
	now := &catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 7), Era: 2}
	require.False(t, p.abandoned(now, &serviceState{revisionSeen: start}, "t", start.Add(time.Hour)))
}

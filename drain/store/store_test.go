package store

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
)

var order = Order{Target: "ledger-0-a", Actor: "aoife", Reason: "new disk", Grace: 10 * time.Second}

func open(p store.Store) *Store {
	s := New(p, func() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) })
	s.pause = time.Millisecond
	s.log = s.log.WithPause(time.Millisecond)
	return s
}

func trail(t *testing.T, p store.Store) []audit.Action {
	t.Helper()
	entries, err := auditlog.New(p).All(context.Background())
	require.NoError(t, err)
	require.Empty(t, audit.Verify(entries))
	var out []audit.Action
	for _, e := range entries {
		out = append(out, e.Action)
	}
	return out
}

func TestDrainAndUndrainLeaveAMarkAndTwoEntries(t *testing.T) {
	ctx := context.Background()
	p := platformd.NewStore()
	_, err := open(p).Undrain(ctx, order)
	var state *StateError
	require.ErrorAs(t, err, &state)
	_, err = open(p).Drain(ctx, order)
	require.NoError(t, err)
	_, err = open(p).Drain(ctx, order)
	require.ErrorAs(t, err, &state)
	require.Equal(t, "aoife", state.Present.Actor)
	marks, err := open(p).Marks(ctx)
	require.NoError(t, err)
	require.Len(t, marks, 1)
	require.EqualValues(t, 10_000, marks[0].GraceMS)
	_, err = open(p).Undrain(ctx, order)
	require.NoError(t, err)
	marks, err = open(p).Marks(ctx)
	require.NoError(t, err)
	require.Empty(t, marks)
	require.Equal(t, []audit.Action{audit.TargetDrained, audit.TargetUndrained}, trail(t, p))
}

// mortal lets a command make so many changes; then its process is gone.
type mortal struct {
	*platformd.Store
	left int
	lose bool
}

func (m *mortal) spend() bool { m.left--; return m.left >= 0 }

func (m *mortal) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	if !m.spend() {
		return 0, store.ErrUnavailable
	}
	v, err := m.Store.Put(ctx, p, key, value, expect)
	if m.lose && err == nil {
		return 0, store.ErrNoAnswer
	}
	return v, err
}

func (m *mortal) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	if !m.spend() {
		return store.ErrUnavailable
	}
	return m.Store.Delete(ctx, p, key, expect)
}

// A command is killed after its first, second, ... change, with every answer
// given and with every one lost. After the next command the mark and the trail
// agree: the order stands with its one entry, or left no trace.
func TestKilledOrderIsFinishedOrLeavesNoTrace(t *testing.T) {
	orders := map[audit.Action]func(*Store) error{
		audit.TargetDrained:   func(s *Store) error { _, err := s.Drain(context.Background(), order); return err },
		audit.TargetUndrained: func(s *Store) error { _, err := s.Undrain(context.Background(), order); return err },
	}
	for action, run := range orders {
		for _, lose := range []bool{false, true} {
			for changes := range 5 {
				p := platformd.NewStore()
				var before []audit.Action
				if action == audit.TargetUndrained {
					require.NoError(t, orders[audit.TargetDrained](open(p)))
					before = trail(t, p)
				}
				err := run(open(&mortal{Store: p, left: changes, lose: lose}))
				require.NoError(t, open(p).Recover(context.Background()))
				marks, listErr := open(p).Marks(context.Background())
				require.NoError(t, listErr)
				took := (len(marks) == 1) == (action == audit.TargetDrained)
				require.Equal(t, changes > 0, took, "%s after %d changes", action, changes)
				require.Equal(t, took, err == nil)
				if took {
					before = append(before, action)
				}
				require.Equal(t, before, trail(t, p))
			}
		}
	}
}

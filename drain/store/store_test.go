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

var request = Request{Target: "ledger-0-a", Actor: "aoife", Reason: "new disk", Grace: 10 * time.Second}

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
	_, err := open(p).Undrain(ctx, request)
	var state *StateError
	require.ErrorAs(t, err, &state)
	_, err = open(p).Drain(ctx, request)
	require.NoError(t, err)
	_, err = open(p).Drain(ctx, request)
	require.ErrorAs(t, err, &state)
	require.Equal(t, "aoife", state.Present.Actor)
	marks, err := open(p).Marks(ctx)
	require.NoError(t, err)
	require.Len(t, marks, 1)
	require.EqualValues(t, 10_000, marks[0].GraceMS)
	_, err = open(p).Undrain(ctx, request)
	require.NoError(t, err)
	marks, err = open(p).Marks(ctx)
	require.NoError(t, err)
	require.Empty(t, marks)
	require.Equal(t, []audit.Action{audit.TargetDrained, audit.TargetUndrained}, trail(t, p))
}

// failAfter passes the first changes to the store and refuses the later ones, as if the command had
// been killed.
type failAfter struct {
	*platformd.Store
	changesLeft int
	loseAnswers bool
}

func (f *failAfter) countChange() bool { f.changesLeft--; return f.changesLeft >= 0 }

func (f *failAfter) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	if !f.countChange() {
		return 0, store.ErrUnavailable
	}
	v, err := f.Store.Put(ctx, p, key, value, expect)
	if f.loseAnswers && err == nil {
		return 0, store.ErrNoAnswer
	}
	return v, err
}

func (f *failAfter) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	if !f.countChange() {
		return store.ErrUnavailable
	}
	return f.Store.Delete(ctx, p, key, expect)
}

// A command is killed after each number of changes, both with all answers received and with the
// answers to its writes lost. After the next command, the mark and the audit trail must agree: the
// request took effect and has exactly one entry, or it had no effect and has none.
func TestKilledRequestIsCompletedOrHasNoEffect(t *testing.T) {
	requests := map[audit.Action]func(*Store) error{
		audit.TargetDrained:   func(s *Store) error { _, err := s.Drain(context.Background(), request); return err },
		audit.TargetUndrained: func(s *Store) error { _, err := s.Undrain(context.Background(), request); return err },
	}
	for action, run := range requests {
		for _, loseAnswers := range []bool{false, true} {
			for changes := range 5 {
				p := platformd.NewStore()
				var before []audit.Action
				if action == audit.TargetUndrained {
					require.NoError(t, requests[audit.TargetDrained](open(p)))
					before = trail(t, p)
				}
				err := run(open(&failAfter{Store: p, changesLeft: changes, loseAnswers: loseAnswers}))
				require.NoError(t, open(p).Recover(context.Background()))
				marks, listErr := open(p).Marks(context.Background())
				require.NoError(t, listErr)
				tookEffect := (len(marks) == 1) == (action == audit.TargetDrained)
				require.Equal(t, changes > 0, tookEffect, "%s after %d changes", action, changes)
				require.Equal(t, tookEffect, err == nil)
				if tookEffect {
					before = append(before, action)
				}
				require.Equal(t, before, trail(t, p))
			}
		}
	}
}

package store

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/standin/platformd"
	"endivemoor.example/endivemoor/platform"
	"endivemoor.example/endivemoor/publication"
)

// fault is what strikes a command at one of its calls to the store.
type fault string

const (
	// killed ends the command: no later call reaches the store.
	killed fault = "killed"
	// killedAfter ends it after the call took effect.
	killedAfter fault = "killed after the effect"
	// lostAnswer loses one answer after the effect.
	lostAnswer fault = "answer lost"
	// lostRequest loses one call before the effect, unanswered.
	lostRequest fault = "request lost"
	// outage refuses one call.
	outage fault = "outage"
	// lostThenDown loses the answer, and the store is down from then on.
	lostThenDown fault = "answer lost, then down"
)

var faults = []fault{killed, killedAfter, lostAnswer, lostRequest, outage, lostThenDown}

// faulty strikes at call number at, counting from 0.
type faulty struct {
	platform.Store
	at     int
	kind   fault
	calls  int
	struck bool
	// cancel ends the command: its process is gone, or its time is up.
	cancel func()
}

// patience is how many calls a command makes of a store that stays away
// before its time is up.
const patience = 4

// strike says how the call is struck: what to answer instead, and if it
// reaches the store at all.
func (f *faulty) strike() (reaches bool, err error) {
	n := f.calls
	f.calls++
	if n < f.at {
		return true, nil
	}
	if n == f.at {
		f.struck = true
		switch f.kind {
		case killedAfter, lostThenDown, lostAnswer:
			return true, platform.ErrNoAnswer
		case lostRequest:
			return false, platform.ErrNoAnswer
		default:
			return false, platform.ErrUnavailable
		}
	}
	if f.kind == killed || f.kind == killedAfter || f.kind == lostThenDown {
		if n-f.at == patience || f.kind != lostThenDown {
			f.cancel()
		}
		return false, platform.ErrUnavailable
	}
	return true, nil
}

// read is a call without effect: whatever strikes it, it is unavailable.
func (f *faulty) read() error {
	if _, err := f.strike(); err != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (f *faulty) Get(ctx context.Context, p platform.Purpose, key string) (platform.Object, error) {
	if err := f.read(); err != nil {
		return platform.Object{}, err
	}
	return f.Store.Get(ctx, p, key)
}

func (f *faulty) List(ctx context.Context, p platform.Purpose, prefix string) ([]platform.Object, error) {
	if err := f.read(); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, p, prefix)
}

func (f *faulty) Put(ctx context.Context, p platform.Purpose, key string, value []byte, expect platform.Version) (platform.Version, error) {
	reaches, struck := f.strike()
	if !reaches {
		return 0, struck
	}
	v, err := f.Store.Put(ctx, p, key, value, expect)
	if struck != nil {
		return 0, struck
	}
	return v, err
}

func (f *faulty) Delete(ctx context.Context, p platform.Purpose, key string, expect platform.Version) error {
	reaches, struck := f.strike()
	if !reaches {
		return struck
	}
	err := f.Store.Delete(ctx, p, key, expect)
	if struck != nil {
		return struck
	}
	return err
}

// command is one operator's command under test.
type command struct {
	name string
	run  func(ctx context.Context, s *Store, draft string) error
	// took reports whether the command's change stands.
	took func(current *publication.Record, drafts []publication.Draft) bool
	// action is recorded if and only if it does.
	action audit.Action
}

var commands = []command{
	{"publish", func(ctx context.Context, s *Store, id string) error { _, err := s.Publish(ctx, aoife, id); return err },
		func(current *publication.Record, _ []publication.Draft) bool { return current.Generation == 2 }, audit.ProfilePublished},
	{"review", func(ctx context.Context, s *Store, id string) error {
		_, err := s.Review(ctx, ciara, id, nil)
		return err
	},
		func(_ *publication.Record, drafts []publication.Draft) bool {
			return drafts[0].Review.Reviewer == "ciara"
		}, audit.ProfileReviewed},
	{"retire", func(ctx context.Context, s *Store, id string) error { _, err := s.Retire(ctx, aoife, id); return err },
		func(_ *publication.Record, drafts []publication.Draft) bool { return len(drafts) == 0 }, audit.ProfileRetired},
	{"create", func(ctx context.Context, s *Store, _ string) error {
		_, _, err := s.Create(ctx, ciara, "f.ini", []byte(thirdText))
		return err
	}, func(_ *publication.Record, drafts []publication.Draft) bool { return len(drafts) == 2 }, audit.ProfileDrafted},
}

// Every fault strikes every call of every command. Whatever the operator was
// told must be true, and after the next command has recovered what was left,
// the change stands with its one audit entry, or not at all with none.
func TestEveryFaultAtEveryCall(t *testing.T) {
	tried, told := 0, map[string]int{}
	for _, c := range commands {
		for _, kind := range faults {
			for at := 0; ; at++ {
				outcome, struck := strikeOnce(t, c, kind, at)
				if !struck {
					break
				}
				tried++
				told[outcome]++
			}
		}
	}
	t.Logf("cells struck: %d, told: %v", tried, told)
	require.Greater(t, tried, 100)
}

func strikeOnce(t *testing.T, c command, kind fault, at int) (string, bool) {
	t.Helper()
	where := fmt.Sprintf("%s, %s at call %d", c.name, kind, at)
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	before := actions(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &faulty{Store: p, at: at, kind: kind, cancel: cancel}
	err := c.run(ctx, open(f), id)

	require.NoError(t, open(p).Recover(context.Background()), where)
	current, drafts := state(t, p)
	took := c.took(current, drafts)
	outcome := "accepted"
	var unknown *UnknownError
	switch {
	case err == nil:
		require.True(t, took, "%s: told accepted", where)
	case errors.As(err, &unknown):
		outcome = "unknown"
	default:
		outcome = "not accepted"
		require.False(t, took, "%s: told %v", where, err)
	}
	requireEntries(t, p, before, c, took, where)
	return outcome, f.struck
}

func requireEntries(t *testing.T, p platform.Store, before []audit.Action, c command, took bool, where string) {
	t.Helper()
	after := actions(t, p)
	want := before
	if took {
		want = append(want[:len(want):len(want)], c.action)
	}
	require.Equal(t, want, after, where)
}

func state(t *testing.T, p platform.Store) (*publication.Record, []publication.Draft) {
	t.Helper()
	current, err := open(p).Current(context.Background())
	require.NoError(t, err)
	drafts, err := open(p).Drafts(context.Background())
	require.NoError(t, err)
	if archived, err := open(p).Set(context.Background(), current.Generation); err != nil || archived == nil {
		t.Fatalf("generation %d is not archived after Recover: %v", current.Generation, err)
	}
	return current, drafts
}

package store

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/guard"
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

// cell is one fault at one call of one command.
type cell struct {
	command command
	kind    fault
	at      int
}

func (c cell) String() string {
	return fmt.Sprintf("%s, %s at call %d", c.command.name, c.kind, c.at)
}

// Every fault strikes every call of every command. Whatever the operator was
// told must be true, and after the next operator's command the change stands
// with its one audit entry, or not at all with none.
func TestEveryFaultAtEveryCall(t *testing.T) {
	tried, told := 0, map[string]int{}
	sweep(t, nil, func(c cell, outcome string, fault error) bool {
		require.NoError(t, fault, c.String())
		tried++
		told[outcome]++
		return true
	})
	t.Logf("cells struck: %d, told: %v", tried, told)
	require.Greater(t, tried, 100)
}

// sweep plays the cells with some guards out, as long as seen says so.
func sweep(t *testing.T, guards guard.Set, seen func(c cell, outcome string, fault error) bool) {
	t.Helper()
	for _, command := range commands {
		for _, kind := range faults {
			for at := 0; ; at++ {
				c := cell{command: command, kind: kind, at: at}
				outcome, struck, fault := c.play(t, guards)
				if !struck {
					break
				}
				if !seen(c, outcome, fault) {
					return
				}
			}
		}
	}
}

// play strikes once and judges. Whether the fault struck at all says when the
// command has no further call.
func (c cell) play(t *testing.T, guards guard.Set) (outcome string, struck bool, fault error) {
	t.Helper()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	before := actions(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &faulty{Store: p, at: c.at, kind: c.kind, cancel: cancel}
	told := c.command.run(ctx, without(f, guards), id)

	_, _, err := without(p, guards).Create(context.Background(), dora, "f.ini", []byte(fourthText))
	if err != nil {
		return "", f.struck, errors.Wrap(err, "the next operator is stuck")
	}
	outcome, fault = judge(t, p, c.command, told, before)
	return outcome, f.struck, fault
}

// judge compares what was told with what stands. It knows the objects and the
// trail, and nothing of how the command works.
func judge(t *testing.T, p platform.Store, c command, told error, before []audit.Action) (string, error) {
	t.Helper()
	current, drafts := state(t, p)
	took := c.took(current, drafts)
	outcome := "accepted"
	var unknown *UnknownError
	switch {
	case told == nil && !took:
		return outcome, errors.New("told accepted, and it does not stand")
	case errors.As(told, &unknown):
		outcome = "unknown"
	case told != nil:
		outcome = "not accepted"
		if took {
			return outcome, errors.Wrap(told, "it stands, and was told")
		}
	}
	want := slices.Clone(before)
	if took {
		want = append(want, c.action)
	}
	want = append(want, audit.ProfileDrafted)
	got, faults := trail(t, p)
	if len(faults) > 0 || !slices.Equal(want, got) {
		return outcome, errors.Errorf("trail is %v with %v, not %v", got, faults, want)
	}
	return outcome, nil
}

// state returns what is in force, and the drafts but that of the next operator.
func state(t *testing.T, p platform.Store) (*publication.Record, []publication.Draft) {
	t.Helper()
	current, err := open(p).Current(context.Background())
	require.NoError(t, err)
	drafts, err := open(p).Drafts(context.Background())
	require.NoError(t, err)
	return current, slices.DeleteFunc(drafts, func(d publication.Draft) bool { return d.Author == dora.Actor })
}

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
	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
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

// endsCommand reports whether no later call reaches the store.
func (f fault) endsCommand() bool { return f == killed || f == killedAfter || f == lostThenDown }

// strike is a fault at a call, counted from 0.
type strike struct {
	kind fault
	at   int
}

func (s strike) String() string { return fmt.Sprintf("%s at call %d", s.kind, s.at) }

// faulty strikes at the calls given, in order.
type faulty struct {
	store.Store
	left  []strike
	calls int
	// gone counts the calls since the command ended, or the store did.
	gone *int
	last fault
	// cancel ends the command: its process is gone, or its time is up.
	cancel func()
}

// patience is how many calls a command makes of a store that stays away
// before its time is up.
const patience = 4

func (f *faulty) allStruck() bool { return len(f.left) == 0 }

// next says how the present call is struck: what to answer instead, and if it
// reaches the store at all.
func (f *faulty) next() (reaches bool, err error) {
	n := f.calls
	f.calls++
	if f.gone != nil {
		*f.gone++
		if f.last != lostThenDown || *f.gone == patience {
			f.cancel()
		}
		return false, store.ErrUnavailable
	}
	if f.allStruck() || f.left[0].at != n {
		return true, nil
	}
	f.last, f.left = f.left[0].kind, f.left[1:]
	if f.last.endsCommand() {
		f.gone = new(int)
	}
	switch f.last {
	case killedAfter, lostThenDown, lostAnswer:
		return true, store.ErrNoAnswer
	case lostRequest:
		return false, store.ErrNoAnswer
	default:
		return false, store.ErrUnavailable
	}
}

// read is a call without effect: whatever strikes it, it is unavailable.
func (f *faulty) read() error {
	if _, err := f.next(); err != nil {
		return store.ErrUnavailable
	}
	return nil
}

func (f *faulty) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	if err := f.read(); err != nil {
		return store.Object{}, err
	}
	return f.Store.Get(ctx, p, key)
}

func (f *faulty) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	if err := f.read(); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, p, prefix)
}

func (f *faulty) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	reaches, struck := f.next()
	if !reaches {
		return 0, struck
	}
	v, err := f.Store.Put(ctx, p, key, value, expect)
	if struck != nil {
		return 0, struck
	}
	return v, err
}

func (f *faulty) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	reaches, struck := f.next()
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

// cell is one command under one fault, or a pair.
type cell struct {
	command command
	strikes []strike
}

func (c cell) String() string { return fmt.Sprint(c.command.name, " ", c.strikes) }

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
				c := cell{command: command, strikes: []strike{{kind, at}}}
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

// play runs the command under the strikes and judges. Whether all of them struck
// says when the command has no further call.
func (c cell) play(t *testing.T, guards guard.Set) (outcome string, struck bool, fault error) {
	t.Helper()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	before := actions(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &faulty{Store: p, left: c.strikes, cancel: cancel}
	told := c.command.run(ctx, without(f, guards), id)

	_, _, err := without(p, guards).Create(context.Background(), dora, "f.ini", []byte(fourthText))
	if err != nil {
		return "", f.allStruck(), errors.Wrap(err, "the next operator is stuck")
	}
	outcome, fault = judge(t, p, c.command, told, before)
	return outcome, f.allStruck(), fault
}

// judge compares what was told with what stands. It knows the objects and the
// trail, and nothing of how the command works.
func judge(t *testing.T, p store.Store, c command, told error, before []audit.Action) (string, error) {
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
func state(t *testing.T, p store.Store) (*publication.Record, []publication.Draft) {
	t.Helper()
	current, err := open(p).Current(context.Background())
	require.NoError(t, err)
	drafts, err := open(p).Drafts(context.Background())
	require.NoError(t, err)
	return current, slices.DeleteFunc(drafts, func(d publication.Draft) bool { return d.Author == dora.Actor })
}

// Two faults strike one command: one that it survives, and any other at any
// later call.
func TestPairsOfFaults(t *testing.T) {
	cells := pairs(t)
	for _, c := range cells {
		_, struck, fault := c.play(t, nil)
		require.NoError(t, fault, c.String())
		require.True(t, struck, c.String())
	}
	t.Logf("pairs struck: %d", len(cells))
	require.Greater(t, len(cells), 100)
}

// pairs lists the pairs whose second fault finds a call to strike: those after
// a first fault that does not end the command.
func pairs(t *testing.T) []cell {
	t.Helper()
	var out []cell
	sweep(t, nil, func(first cell, _ string, _ error) bool {
		calls := first.calls(t)
		for _, kind := range faults {
			for at := first.strikes[0].at + 1; at < calls; at++ {
				out = append(out, cell{command: first.command, strikes: append(first.strikes[:1:1], strike{kind, at})})
			}
		}
		return true
	})
	return out
}

// calls counts the calls that reach for the store under the cell's strikes; none
// if they end the command.
func (c cell) calls(t *testing.T) int {
	t.Helper()
	if c.strikes[0].kind.endsCommand() {
		return 0
	}
	p := platformd.NewStore()
	publishFirst(t, p)
	f := &faulty{Store: p, left: c.strikes, cancel: func() {}}
	_ = c.command.run(context.Background(), open(f), reviewed(t, p, aoife, secondText))
	return f.calls
}

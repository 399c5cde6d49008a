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

// fault is a fault that is injected into one of a command's calls to the store.
type fault string

const (
	// killed ends the command: neither this call nor a later one reaches the store.
	killed fault = "killed"
	// killedAfter ends the command after the call took effect.
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

// injection is a fault at a call. Calls are counted from 0.
type injection struct {
	kind fault
	at   int
}

func (i injection) String() string { return fmt.Sprintf("%s at call %d", i.kind, i.at) }

// faulty injects the pending faults, in order.
type faulty struct {
	store.Store
	pending []injection
	calls   int
	// callsAfterEnd counts the calls since the command was killed or the store went down. It is nil
	// before that.
	callsAfterEnd *int
	last          fault
	// cancel ends the command, as when its process is killed or its timeout expires.
	cancel func()
}

// callsBeforeTimeout is the number of calls that a command makes to an unavailable store before its
// timeout expires.
const callsBeforeTimeout = 4

func (f *faulty) allInjected() bool { return len(f.pending) == 0 }

// next injects a fault into the current call if one is due. It returns whether the call reaches the
// store, and the error to return instead of its result.
func (f *faulty) next() (reaches bool, err error) {
	n := f.calls
	f.calls++
	if f.callsAfterEnd != nil {
		*f.callsAfterEnd++
		if f.last != lostThenDown || *f.callsAfterEnd == callsBeforeTimeout {
			f.cancel()
		}
		return false, store.ErrUnavailable
	}
	if f.allInjected() || f.pending[0].at != n {
		return true, nil
	}
	f.last, f.pending = f.pending[0].kind, f.pending[1:]
	if f.last.endsCommand() {
		f.callsAfterEnd = new(int)
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

// read handles a call without effect: any injected fault makes it fail with store.ErrUnavailable.
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
	reaches, injected := f.next()
	if !reaches {
		return 0, injected
	}
	v, err := f.Store.Put(ctx, p, key, value, expect)
	if injected != nil {
		return 0, injected
	}
	return v, err
}

func (f *faulty) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	reaches, injected := f.next()
	if !reaches {
		return injected
	}
	err := f.Store.Delete(ctx, p, key, expect)
	if injected != nil {
		return injected
	}
	return err
}

// command is one operator's command under test.
type command struct {
	name string
	run  func(ctx context.Context, s *Store, draft string) error
	// tookEffect reports whether the command's change is in effect.
	tookEffect func(current *publication.Record, drafts []publication.Draft) bool
	// action is in the audit trail if and only if the change is in effect.
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

// cell is one command with one or two injected faults.
type cell struct {
	command    command
	injections []injection
}

func (c cell) String() string { return fmt.Sprint(c.command.name, " ", c.injections) }

// Injects every fault into every call of every command. The command's result must be true, and after
// the next operator's command the change is in effect with exactly one audit entry, or not in effect
// with none.
func TestEveryFaultAtEveryCall(t *testing.T) {
	tried, reported := 0, map[string]int{}
	sweep(t, nil, func(c cell, outcome string, violation error) bool {
		require.NoError(t, violation, c.String())
		tried++
		reported[outcome]++
		return true
	})
	t.Logf("cells run: %d, reported outcomes: %v", tried, reported)
	require.Greater(t, tried, 100)
}

// sweep runs the cells with the given guards disabled, until visit returns false.
func sweep(t *testing.T, guards guard.Set, visit func(c cell, outcome string, violation error) bool) {
	t.Helper()
	for _, command := range commands {
		for _, kind := range faults {
			for at := 0; ; at++ {
				c := cell{command: command, injections: []injection{{kind, at}}}
				outcome, injected, violation := c.run(t, guards)
				if !injected {
					break
				}
				if !visit(c, outcome, violation) {
					return
				}
			}
		}
	}
}

// run executes the command with the injected faults and checks its result. injected is false if the
// command ended before all faults could be injected.
func (c cell) run(t *testing.T, guards guard.Set) (outcome string, injected bool, violation error) {
	t.Helper()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	before := actions(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &faulty{Store: p, pending: c.injections, cancel: cancel}
	reported := c.command.run(ctx, without(f, guards), id)

	_, _, err := without(p, guards).Create(context.Background(), dora, "f.ini", []byte(fourthText))
	if err != nil {
		return "", f.allInjected(), errors.Wrap(err, "the next operator's command fails")
	}
	outcome, violation = checkOutcome(t, p, c.command, reported, before)
	return outcome, f.allInjected(), violation
}

// checkOutcome compares the result that the command reported with the objects and the audit trail. It
// does not depend on how the command works.
func checkOutcome(t *testing.T, p store.Store, c command, reported error, before []audit.Action) (string, error) {
	t.Helper()
	current, drafts := state(t, p)
	inEffect := c.tookEffect(current, drafts)
	outcome := "accepted"
	var unknown *UnknownError
	switch {
	case reported == nil && !inEffect:
		return outcome, errors.New("the command reported success, but its change is not in effect")
	case errors.As(reported, &unknown):
		outcome = "unknown"
	case reported != nil:
		outcome = "not accepted"
		if inEffect {
			return outcome, errors.Wrap(reported, "the change is in effect, but the command reported")
		}
	}
	want := slices.Clone(before)
	if inEffect {
		want = append(want, c.action)
	}
	want = append(want, audit.ProfileDrafted)
	got, faults := trail(t, p)
	if len(faults) > 0 || !slices.Equal(want, got) {
		return outcome, errors.Errorf("audit trail is %v with faults %v, want %v", got, faults, want)
	}
	return outcome, nil
}

// state returns the record in force, and the drafts except those of the next operator.
func state(t *testing.T, p store.Store) (*publication.Record, []publication.Draft) {
	t.Helper()
	current, err := open(p).Current(context.Background())
	require.NoError(t, err)
	drafts, err := open(p).Drafts(context.Background())
	require.NoError(t, err)
	return current, slices.DeleteFunc(drafts, func(d publication.Draft) bool { return d.Author == dora.Actor })
}

// Injects two faults into one command: one that it survives, and any other at any later call.
func TestPairsOfFaults(t *testing.T) {
	cells := pairs(t)
	for _, c := range cells {
		_, injected, violation := c.run(t, nil)
		require.NoError(t, violation, c.String())
		require.True(t, injected, c.String())
	}
	t.Logf("pairs run: %d", len(cells))
	require.Greater(t, len(cells), 100)
}

// pairs lists the pairs of faults whose second one is reached: those whose first fault does not end
// the command.
func pairs(t *testing.T) []cell {
	t.Helper()
	var out []cell
	sweep(t, nil, func(first cell, _ string, _ error) bool {
		calls := first.calls(t)
		for _, kind := range faults {
			for at := first.injections[0].at + 1; at < calls; at++ {
				out = append(out, cell{command: first.command, injections: append(first.injections[:1:1], injection{kind, at})})
			}
		}
		return true
	})
	return out
}

// calls returns the number of calls to the store that the command makes with the cell's faults, or 0
// if its first fault ends the command.
func (c cell) calls(t *testing.T) int {
	t.Helper()
	if c.injections[0].kind.endsCommand() {
		return 0
	}
	p := platformd.NewStore()
	publishFirst(t, p)
	f := &faulty{Store: p, pending: c.injections, cancel: func() {}}
	_ = c.command.run(context.Background(), open(f), reviewed(t, p, aoife, secondText))
	return f.calls
}

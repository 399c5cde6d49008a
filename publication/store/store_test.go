package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
)

const (
	firstText  = "[shop]\n[shop.pay]\nkey = required\n"
	secondText = "[shop]\n[shop.pay]\nkey = required\nworth = 9\n"
	fourthText = "[shop]\n[shop.pay]\nkey = required\nworth = 5\n"
	thirdText  = "[shop]\n[shop.pay]\nkey = required\nworth = 7\n"
)

var (
	aoife = Attribution{Actor: "aoife", Reason: "season"}
	brian = Attribution{Actor: "brian", Reason: "read it"}
	ciara = Attribution{Actor: "ciara", Reason: "sale"}
	dora  = Attribution{Actor: "dora", Reason: "next"}
)

func noon() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

func open(p store.Store) *Store { return New(p, noon).WithPause(time.Millisecond) }

// without opens the store with the given guards disabled.
func without(p store.Store, guards guard.Set) *Store {
	s := open(p)
	s.guards = guards
	return s
}

// reviewed stores a reviewed draft of text by the author and returns its ID.
func reviewed(t *testing.T, p store.Store, author Attribution, text string) string {
	t.Helper()
	ctx := context.Background()
	d, _, err := open(p).Create(ctx, author, "f.ini", []byte(text))
	require.NoError(t, err)
	_, err = open(p).Review(ctx, brian, d.ID, nil)
	require.NoError(t, err)
	return d.ID
}

func publishFirst(t *testing.T, p store.Store) {
	t.Helper()
	_, err := open(p).Publish(context.Background(), aoife, reviewed(t, p, aoife, firstText))
	require.NoError(t, err)
}

// trail returns the actions in the audit trail, in order, and the faults that audit.Verify finds.
func trail(t *testing.T, p store.Store) ([]audit.Action, []audit.Fault) {
	t.Helper()
	entries, err := auditlog.New(p).All(context.Background())
	require.NoError(t, err)
	var out []audit.Action
	for _, e := range entries {
		out = append(out, e.Action)
	}
	return out, audit.Verify(entries)
}

func actions(t *testing.T, p store.Store) []audit.Action {
	t.Helper()
	out, faults := trail(t, p)
	require.Empty(t, faults)
	return out
}

func TestPublishAndRetireAreRecorded(t *testing.T) {
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	_, err := open(p).Publish(ctx, aoife, reviewed(t, p, ciara, secondText))
	require.NoError(t, err)
	withdrawn, _, err := open(p).Create(ctx, aoife, "f.ini", []byte(thirdText))
	require.NoError(t, err)
	_, err = open(p).Retire(ctx, aoife, withdrawn.ID)
	require.NoError(t, err)
	history, err := open(p).History(ctx, 10)
	require.NoError(t, err)
	require.Len(t, history, 2)
	require.Equal(t, secondText, history[0].Text)
	require.Equal(t, "ciara", history[0].Author)
	set, err := Compile(history[0])
	require.NoError(t, err)
	require.EqualValues(t, 2, set.Generation)
	drafts, err := open(p).Drafts(ctx)
	require.NoError(t, err)
	require.Empty(t, drafts)
	require.Equal(t, []audit.Action{
		audit.ProfileDrafted, audit.ProfileReviewed, audit.ProfilePublished,
		audit.ProfileDrafted, audit.ProfileReviewed, audit.ProfilePublished,
		audit.ProfileDrafted, audit.ProfileRetired,
	}, actions(t, p))
}

// Two operators publish concurrently while half of all answers are lost. One wins; the other receives
// an error that names the winner, and its draft is not in force.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	for seed := range uint64(20) {
		require.NoError(t, checkRace(t, seed, nil), "seed %d", seed)
	}
}

// checkRace runs two publishes concurrently and checks their results.
func checkRace(t *testing.T, seed uint64, guards guard.Set) error {
	t.Helper()
	p := platformd.NewStore()
	publishFirst(t, p)
	ids := []string{reviewed(t, p, aoife, secondText), reviewed(t, p, ciara, thirdText)}
	p.SetFaults(platformd.Faults{LoseProbability: 0.5, Seed: seed})
	results := make([]error, 2)
	var wg sync.WaitGroup
	for i, by := range []Attribution{aoife, ciara} {
		wg.Go(func() { _, results[i] = without(p, guards).Publish(context.Background(), by, ids[i]) })
	}
	wg.Wait()
	p.SetFaults(platformd.Faults{})
	current, err := open(p).Current(context.Background())
	require.NoError(t, err)
	winner := 0
	if results[0] != nil {
		winner = 1
	}
	var refused *publication.RefusedError
	switch {
	case results[winner] != nil:
		return errors.Wrap(results[winner], "both publishes were refused")
	case !errors.As(results[1-winner], &refused) || refused.Rule != publication.RuleSuperseded:
		return errors.Errorf("the losing publish returned %v, want a refusal as superseded", results[1-winner])
	case refused.Winner.Draft != ids[winner] || current.Draft != ids[winner] || current.Generation != 2:
		return errors.Errorf("draft %s won, generation %d of %s is in force", ids[winner], current.Generation, current.Draft)
	}
	return nil
}

// A publish takes effect, its answer is lost, and the next publish replaces its record before it can
// be read back. The record was in force, so the publish must not report that it was refused.
func TestOvertakenPublishIsStillAccepted(t *testing.T) {
	require.NoError(t, checkOvertaken(t, nil))
}

func checkOvertaken(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	published, err := without(&overtake{Store: p, t: t}, guards).Publish(ctx, aoife, id)
	if err != nil {
		return err
	}
	require.EqualValues(t, 2, published.Record.Generation)
	current, err := open(p).Current(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 3, current.Generation)
	require.Len(t, actions(t, p), 9)
	return nil
}

// overtake runs a second publish after the first one took effect, and loses the answer of the first.
type overtake struct {
	*platformd.Store
	t    *testing.T
	done bool
}

func (o *overtake) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	v, err := o.Store.Put(ctx, p, key, value, expect)
	if key != CurrentKey || o.done || err != nil {
		return v, err
	}
	o.done = true
	_, err = open(o.Store).Publish(ctx, ciara, reviewed(o.t, o.Store, ciara, thirdText))
	require.NoError(o.t, err)
	return 0, store.ErrNoAnswer
}

// While the store is down, a publish fails with the certainty that it had no effect.
func TestPublishInAnOutageIsNotAccepted(t *testing.T) {
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	p.SetFaults(platformd.Faults{Down: true})
	_, err := open(p).Publish(ctx, aoife, id)
	require.ErrorIs(t, err, store.ErrUnavailable)
	p.SetFaults(platformd.Faults{})
	current, err := open(p).Current(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, current.Generation)
	_, err = open(p).Publish(ctx, aoife, id)
	require.NoError(t, err)
}

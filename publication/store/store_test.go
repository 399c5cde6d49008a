package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/internal/standin/platformd"
	"endivemoor.example/endivemoor/platform"
	"endivemoor.example/endivemoor/publication"
)

const (
	firstText  = "[shop]\n[shop.pay]\nkey = required\n"
	secondText = "[shop]\n[shop.pay]\nkey = required\nworth = 9\n"
	thirdText  = "[shop]\n[shop.pay]\nkey = required\nworth = 7\n"
)

var (
	aoife = By{Actor: "aoife", Reason: "season"}
	brian = By{Actor: "brian", Reason: "read it"}
	ciara = By{Actor: "ciara", Reason: "sale"}
)

func noon() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

func open(p platform.Store) *Store { return New(p, noon).WithPause(time.Millisecond) }

// reviewed leaves a reviewed draft of text by the author.
func reviewed(t *testing.T, p platform.Store, author By, text string) string {
	t.Helper()
	ctx := context.Background()
	d, _, err := open(p).Create(ctx, author, "f.ini", []byte(text))
	require.NoError(t, err)
	_, err = open(p).Review(ctx, brian, d.ID, nil)
	require.NoError(t, err)
	return d.ID
}

func publishFirst(t *testing.T, p platform.Store) {
	t.Helper()
	_, err := open(p).Publish(context.Background(), aoife, reviewed(t, p, aoife, firstText))
	require.NoError(t, err)
}

// actions returns the trail's actions in order, after verifying it.
func actions(t *testing.T, p platform.Store) []audit.Action {
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

func TestLifeOfAChange(t *testing.T) {
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

// Two operators publish at the same moment. One wins; the other is told who
// and what, and nothing of its own is in force. Half of all answers are lost.
func TestOfTwoPublishersOneWinsAndTheOtherLearnsIt(t *testing.T) {
	for seed := range uint64(20) {
		p := platformd.NewStore()
		publishFirst(t, p)
		ids := []string{reviewed(t, p, aoife, secondText), reviewed(t, p, ciara, thirdText)}
		p.SetFaults(platformd.Faults{LoseProbability: 0.5, Seed: seed})
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i, by := range []By{aoife, ciara} {
			wg.Go(func() { _, errs[i] = open(p).Publish(context.Background(), by, ids[i]) })
		}
		wg.Wait()
		p.SetFaults(platformd.Faults{})
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		require.NoError(t, errs[winner])
		var refused *publication.RefusedError
		require.ErrorAs(t, errs[1-winner], &refused)
		require.Equal(t, publication.RuleSuperseded, refused.Rule)
		require.Equal(t, ids[winner], refused.Winner.Draft)
		current, err := open(p).Current(context.Background())
		require.NoError(t, err)
		require.Equal(t, ids[winner], current.Draft)
		require.EqualValues(t, 2, current.Generation)
	}
}

// A publish takes effect, its answer is lost, and before it can be read back
// the next publish replaces it. It was in force: "refused" would be untrue.
func TestOvertakenPublishIsStillAccepted(t *testing.T) {
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	overtaken := &overtake{Store: p, t: t}
	id := reviewed(t, p, aoife, secondText)
	published, err := open(overtaken).Publish(ctx, aoife, id)
	require.NoError(t, err)
	require.EqualValues(t, 2, published.Record.Generation)
	current, err := open(p).Current(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 3, current.Generation)
	require.Len(t, actions(t, p), 9)
}

// overtake loses the answer of the first publish and lets another one follow.
type overtake struct {
	*platformd.Store
	t    *testing.T
	done bool
}

func (o *overtake) Put(ctx context.Context, p platform.Purpose, key string, value []byte, expect platform.Version) (platform.Version, error) {
	v, err := o.Store.Put(ctx, p, key, value, expect)
	if key != CurrentKey || o.done || err != nil {
		return v, err
	}
	o.done = true
	_, err = open(o.Store).Publish(ctx, ciara, reviewed(o.t, o.Store, ciara, thirdText))
	require.NoError(o.t, err)
	return 0, platform.ErrNoAnswer
}

// The store is down: a publish is refused for certain and leaves no trace.
func TestPublishInAnOutageIsNotAccepted(t *testing.T) {
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	id := reviewed(t, p, aoife, secondText)
	p.SetFaults(platformd.Faults{Down: true})
	_, err := open(p).Publish(ctx, aoife, id)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	p.SetFaults(platformd.Faults{})
	current, err := open(p).Current(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, current.Generation)
	_, err = open(p).Publish(ctx, aoife, id)
	require.NoError(t, err)
}

package store

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
)

// Failure guarded against: after our publish has recovered, and before it reads its draft, a second
// publish takes effect and is killed before it is settled. A review that recovered before that
// approves our draft against the new generation. Our publish then overwrites the only copy of the
// second publish's audit entry.
func TestUnsettledRecordIsNotOverwritten(t *testing.T) {
	require.NoError(t, checkUnsettledReplaced(t, nil))
}

func checkUnsettledReplaced(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	ours := reviewed(t, p, aoife, secondText)
	theirs := reviewed(t, p, ciara, thirdText)
	between := &hookBeforeDraft{Store: p, hook: func() {
		killedCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		_, err := open(&cancelAfterReplace{Store: p, cancel: cancel}).Publish(killedCtx, ciara, theirs)
		require.NoError(t, err)
		_, err = without(p, guard.Without(GuardRecover)).Review(ctx, brian, ours, nil)
		require.NoError(t, err)
	}}
	_, err := without(between, guards).Publish(ctx, aoife, ours)
	require.NoError(t, err)
	require.NoError(t, open(p).Recover(ctx))
	published := 0
	for _, action := range actions(t, p) {
		if action == audit.ProfilePublished {
			published++
		}
	}
	if published != 3 {
		return errors.Errorf("three generations were in force, but the audit trail has %d entries of a publish", published)
	}
	return nil
}

// hookBeforeDraft calls its hook once, before the first read of a draft.
type hookBeforeDraft struct {
	*platformd.Store
	hook func()
}

func (b *hookBeforeDraft) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	if hook := b.hook; hook != nil && len(key) > len(DraftPrefix) && key[:len(DraftPrefix)] == DraftPrefix {
		b.hook = nil
		hook()
	}
	return b.Store.Get(ctx, p, key)
}

// cancelAfterReplace cancels the command's context as soon as profiles/current was replaced.
type cancelAfterReplace struct {
	*platformd.Store
	cancel func()
}

func (a *cancelAfterReplace) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	v, err := a.Store.Put(ctx, p, key, value, expect)
	if key == CurrentKey {
		a.cancel()
	}
	return v, err
}

// With each guard disabled in turn, a checker must report an error; otherwise either the guard or the
// checker is useless.
func TestEveryGuardIsNeeded(t *testing.T) {
	checkers := map[guard.Name]func(*testing.T, guard.Set) error{
		GuardReadBack:             checkMatrix,
		GuardArchiveLast:          checkMatrix,
		GuardRecover:              checkMatrix,
		GuardSettle:               checkUnsettledReplaced,
		GuardOvertaken:            checkOvertaken,
		publication.GuardBase:     checkOutdatedReview,
		publication.GuardDanger:   checkKeyDropped,
		publication.GuardReviewer: checkOwnReview,
	}
	for name, check := range checkers {
		require.Error(t, check(t, guard.Without(name)), "without %s", name)
	}
	for _, check := range []func(*testing.T, guard.Set) error{checkOutdatedReview, checkKeyDropped, checkOwnReview} {
		require.NoError(t, check(t, nil))
	}
}

// checkMatrix returns the first violation that a cell shows. TestEveryFaultAtEveryCall runs the
// cells with all guards enabled.
func checkMatrix(t *testing.T, guards guard.Set) error {
	t.Helper()
	var first error
	sweep(t, guards, func(_ cell, _ string, violation error) bool {
		first = violation
		return violation == nil
	})
	return first
}

// checkOutdatedReview publishes a draft after another publish has replaced the record that the draft
// was reviewed against.
func checkOutdatedReview(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	ours := reviewed(t, p, aoife, secondText)
	_, err := open(p).Publish(ctx, ciara, reviewed(t, p, ciara, thirdText))
	require.NoError(t, err)
	if _, err := without(p, guards).Publish(ctx, aoife, ours); err == nil {
		return errors.New("the set in force was not reviewed against the set that it replaced")
	}
	return nil
}

// checkOwnReview lets an author review and publish a draft without another person.
func checkOwnReview(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	s := without(p, guards)
	d, _, err := s.Create(ctx, aoife, "f.ini", []byte(firstText))
	require.NoError(t, err)
	_, _ = s.Review(ctx, Attribution{Actor: " Aoife", Reason: "mine"}, d.ID, nil)
	_, _ = s.Publish(ctx, aoife, d.ID)
	if current, err := s.Current(ctx); err != nil || current != nil {
		return errors.New("one person put a set in force alone")
	}
	return nil
}

// checkKeyDropped reviews a change that drops the key of payments without accepting that change.
func checkKeyDropped(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	s := without(p, guards)
	d, _, err := s.Create(ctx, aoife, "f.ini", []byte("[shop]\n[shop.pay]\n"))
	require.NoError(t, err)
	if _, err := s.Review(ctx, brian, d.ID, []string{"shop.pay/worth"}); err == nil {
		return errors.New("the key of payments was dropped without the reviewer's acceptance")
	}
	return nil
}

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

// A publish is between its recovery and its reading when another one takes
// effect and is killed before it is settled, and a review that had recovered
// just before that accepts our draft against the new generation. Our publish
// must not overwrite the only place where the other's audit entry stands.
func TestUnsettledRecordIsNotOverwritten(t *testing.T) {
	require.NoError(t, overwrite(t, nil))
}

func overwrite(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	ours := reviewed(t, p, aoife, secondText)
	theirs := reviewed(t, p, ciara, thirdText)
	between := &beforeDraft{Store: p, act: func() {
		killedCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		_, err := open(&afterReplace{Store: p, cancel: cancel}).Publish(killedCtx, ciara, theirs)
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
		return errors.Errorf("three generations were in force, %d have an entry", published)
	}
	return nil
}

// beforeDraft acts once, before the first read of a draft.
type beforeDraft struct {
	*platformd.Store
	act func()
}

func (b *beforeDraft) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	if act := b.act; act != nil && len(key) > len(DraftPrefix) && key[:len(DraftPrefix)] == DraftPrefix {
		b.act = nil
		act()
	}
	return b.Store.Get(ctx, p, key)
}

// afterReplace is gone as soon as profiles/current was replaced.
type afterReplace struct {
	*platformd.Store
	cancel func()
}

func (a *afterReplace) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	v, err := a.Store.Put(ctx, p, key, value, expect)
	if key == CurrentKey {
		a.cancel()
	}
	return v, err
}

// Each guard is taken out, and a judge must notice; else either the guard or
// the judge is of no use.
func TestEveryGuardIsNeeded(t *testing.T) {
	judges := map[guard.Name]func(*testing.T, guard.Set) error{
		GuardReadBack:             matrix,
		GuardArchiveLast:          matrix,
		GuardRecover:              matrix,
		GuardSettle:               overwrite,
		GuardOvertaken:            overtaken,
		publication.GuardBase:     late,
		publication.GuardDanger:   weakened,
		publication.GuardReviewer: alone,
	}
	for name, judge := range judges {
		require.Error(t, judge(t, guard.Without(name)), "without %s", name)
	}
	for _, judge := range []func(*testing.T, guard.Set) error{late, weakened, alone} {
		require.NoError(t, judge(t, nil))
	}
}

// matrix returns the first cell's fault. TestEveryFaultAtEveryCall plays it
// with all guards in.
func matrix(t *testing.T, guards guard.Set) error {
	t.Helper()
	var first error
	sweep(t, guards, func(_ cell, _ string, fault error) bool {
		first = fault
		return fault == nil
	})
	return first
}

// late publishes a draft whose review another publish has overtaken.
func late(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	ours := reviewed(t, p, aoife, secondText)
	_, err := open(p).Publish(ctx, ciara, reviewed(t, p, ciara, thirdText))
	require.NoError(t, err)
	if _, err := without(p, guards).Publish(ctx, aoife, ours); err == nil {
		return errors.New("a change is in force that nobody reviewed against what it replaced")
	}
	return nil
}

// alone lets an author publish without anybody else.
func alone(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	s := without(p, guards)
	d, _, err := s.Create(ctx, aoife, "f.ini", []byte(firstText))
	require.NoError(t, err)
	_, _ = s.Review(ctx, By{Actor: " Aoife", Reason: "mine"}, d.ID, nil)
	_, _ = s.Publish(ctx, aoife, d.ID)
	if current, err := s.Current(ctx); err != nil || current != nil {
		return errors.New("one person put a set in force")
	}
	return nil
}

// weakened lets a payment lose its key without the reviewer's word.
func weakened(t *testing.T, guards guard.Set) error {
	t.Helper()
	ctx := context.Background()
	p := platformd.NewStore()
	publishFirst(t, p)
	s := without(p, guards)
	d, _, err := s.Create(ctx, aoife, "f.ini", []byte("[shop]\n[shop.pay]\n"))
	require.NoError(t, err)
	if _, err := s.Review(ctx, brian, d.ID, []string{"shop.pay/worth"}); err == nil {
		return errors.New("a payment lost its key unnoticed")
	}
	return nil
}

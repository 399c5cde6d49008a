package readback_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
)

const key = "profiles/current"

func write(value string, expect store.Version) readback.Write {
	return readback.Write{Purpose: store.PurposeProfile, Key: key, Value: []byte(value), Expect: expect, Pause: time.Millisecond}
}

// The store applies the update and the answer is lost. Failure guarded against: the writer repeats the
// update without reading back, receives a conflict with its own update and reports Lost.
func TestAnswerLostAfterTheEffectIsWon(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{LoseAnswers: 1})
	r, err := readback.Put(context.Background(), s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Won, r.Outcome)
	require.True(t, r.ReadBack)
	require.EqualValues(t, 1, s.Stats().Writes)
	_, struck := s.Faults()
	require.Equal(t, 1, struck.LostAnswers)
}

// The update is lost on the way to the store. The read-back finds no object, so the same conditional
// update is sent again and wins.
func TestRequestLostBeforeTheEffectIsSentAgain(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{LoseRequests: 2})
	r, err := readback.Put(context.Background(), s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Won, r.Outcome)
	require.EqualValues(t, 3, s.Stats().Writes)
}

// The update is delayed in the network and the writer repeats it. When the delayed one arrives, it
// must not take effect a second time or undo later changes.
func TestLateUpdateDoesNotTakeEffectTwice(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{HoldRequests: 1})
	r, err := readback.Put(ctx, s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Won, r.Outcome)
	_, err = s.Put(ctx, store.PurposeProfile, key, []byte("later"), r.Current.Version)
	require.NoError(t, err)
	s.Release()
	o, err := s.Get(ctx, store.PurposeProfile, key)
	require.NoError(t, err)
	require.Equal(t, "later", string(o.Value))
}

// Another writer's update came first. The result must contain the object that won.
func TestLostUpdateReturnsTheCurrentObject(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	_, err := s.Put(ctx, store.PurposeProfile, key, []byte("theirs"), 0)
	require.NoError(t, err)
	r, err := readback.Put(ctx, s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Lost, r.Outcome)
	require.Equal(t, "theirs", string(r.Current.Value))
}

// The store is down from the start, so the update certainly had no effect.
func TestRefusedUpdateIsNotSent(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{Down: true})
	r, err := readback.Put(context.Background(), s, write("mine", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, readback.NotSent, r.Outcome)
}

// downAfterPut takes the store down as soon as it has applied one update, and cancels the caller's
// context.
type downAfterPut struct {
	*platformd.Store
	cancel func()
}

func (d downAfterPut) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	v, err := d.Store.Put(ctx, p, key, value, expect)
	d.SetFaults(platformd.Faults{Down: true})
	d.cancel()
	return v, err
}

// The answer is lost and the store goes down before the object can be read back. The update took
// effect, so the outcome must be Unknown, not NotSent.
func TestOutageAfterLostAnswerIsUnknown(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{LoseAnswers: 1})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := readback.Put(ctx, downAfterPut{s, cancel}, write("mine", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, readback.Unknown, r.Outcome)
	s.SetFaults(platformd.Faults{})
	r, err = readback.Put(context.Background(), s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Won, r.Outcome, "a repeated Put after the outage must resolve the outcome")
}

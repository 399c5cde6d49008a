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

// The store applies the update and its answer is lost. A writer that repeated
// it blindly would see a conflict with itself and report a loss.
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

// The update itself is lost on the way: nothing is there when it is read back,
// so the same conditional update goes out again and wins.
func TestRequestLostBeforeTheEffectIsSentAgain(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{LoseRequests: 2})
	r, err := readback.Put(context.Background(), s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Won, r.Outcome)
	require.EqualValues(t, 3, s.Stats().Writes)
}

// The update is held up in the network and its writer repeats it. When the
// held one arrives it must not take effect a second time, nor undo what came
// in between.
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

// Another writer came first. The loser learns what is there now.
func TestLoserLearnsTheWinner(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	_, err := s.Put(ctx, store.PurposeProfile, key, []byte("theirs"), 0)
	require.NoError(t, err)
	r, err := readback.Put(ctx, s, write("mine", 0))
	require.NoError(t, err)
	require.Equal(t, readback.Lost, r.Outcome)
	require.Equal(t, "theirs", string(r.Current.Value))
}

// The store is down from the start: the writer may say for certain that
// nothing happened.
func TestRefusedUpdateIsNotSent(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{Down: true})
	r, err := readback.Put(context.Background(), s, write("mine", 0))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, readback.NotSent, r.Outcome)
}

// downAfterPut takes the store down as soon as it has applied one update, and
// ends the caller's time.
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

// The answer is lost and the store goes down before it can be read back. The
// update did take effect, so "not sent" would be a lie: it is unknown.
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
	require.Equal(t, readback.Won, r.Outcome, "asked again once the store is back, it is resolved")
}

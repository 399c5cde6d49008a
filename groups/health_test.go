package groups

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

func ms(n int) clock.Time { return clock.Time(time.Duration(n+1) * time.Millisecond) }

func TestUnresponsiveCountsFromTheFirstFailure(t *testing.T) {
	var h Health
	h.Watch("p")
	h.Failed("p", ms(100), true)
	h.Failed("p", ms(200), true)
	h.Failed("other", ms(0), true)
	s := h.Symptoms("p", ms(400))
	require.Equal(t, 300*time.Millisecond, s.Unresponsive)
	require.Equal(t, 2, s.Refusals)
	h.Answered("p")
	require.Equal(t, Symptoms{}, h.Symptoms("p", ms(500)))
}

// A primary that is cut off from its replicas answers reads and status queries, and leaves every
// write unanswered.
func TestStalledWritesShowThoughReadsAreAnswered(t *testing.T) {
	var h Health
	h.Watch("p")
	h.Sent("p", ms(0), true)
	for i := range 5 {
		h.Sent("p", ms(100*i), false)(ms(100*i+10), true)
	}
	require.Equal(t, 700*time.Millisecond, h.Symptoms("p", ms(700)).Stalled)
	h.Sent("p", ms(700), true)(ms(720), true)
	require.Less(t, h.Symptoms("p", ms(800)).Stalled, 100*time.Millisecond, "an acknowledged write shows that others may be acknowledged")
}

// Failure guarded against: a VM's own link recovers after its last write was given up. It refuses writes
// at once, so that none is answered, and replaces the primary for a stall that nothing shows.
func TestStallDoesNotGrowWhileNoWriteWaits(t *testing.T) {
	var h Health
	h.Watch("p")
	h.Sent("p", ms(1), true)(ms(301), false)
	require.Equal(t, 300*time.Millisecond, h.Symptoms("p", ms(5000)).Stalled)
	ended := h.Sent("p", ms(5000), true)
	require.Equal(t, 400*time.Millisecond, h.Symptoms("p", ms(5100)).Stalled, "no write was answered between the two")
	ended(ms(5100), false)
	h.Reset(ms(5200))
	require.Zero(t, h.Symptoms("p", ms(9000)).Stalled)
	h.Sent("p", ms(9000), true)
	require.Equal(t, 100*time.Millisecond, h.Symptoms("p", ms(9100)).Stalled)
}

// This VM was suspended for seconds. Nothing was answered meanwhile, which does not show a fault of
// the primary.
func TestOwnSuspensionResetsFailures(t *testing.T) {
	var h Health
	h.Watch("p")
	h.Sent("p", ms(0), true)
	h.Failed("p", ms(10), false)
	h.Reset(ms(5000))
	s := h.Symptoms("p", ms(5001))
	require.Zero(t, s.Unresponsive)
	require.Less(t, s.Unanswered, 10*time.Millisecond)
	require.Less(t, s.Stalled, 10*time.Millisecond)
}

func TestNewPrimaryStartsClean(t *testing.T) {
	var h Health
	h.Watch("p")
	ended := h.Sent("p", ms(0), true)
	h.Failed("p", ms(10), false)
	h.Watch("q")
	ended(ms(20), false)
	require.Equal(t, Symptoms{}, h.Symptoms("q", ms(1000)))
}

// Writes that arrive once another one has been unanswered for HoldAfter are held until that one has
// ended or another target is the primary. Then one write proceeds.
func TestWritesAreHeldBehindOneThatIsNotConfirmed(t *testing.T) {
	var h Health
	h.Watch("p")
	first := h.Sent("p", ms(0), true)
	require.Nil(t, h.Hold("p", ms(599)))
	h.Sent("p", ms(250), false)(ms(260), true)
	held := h.Hold("p", ms(600))
	require.NotNil(t, held)
	require.Nil(t, h.Hold("other", ms(600)))
	first(ms(650), false)
	<-held.Done
	require.False(t, held.Answered)
	require.Nil(t, h.Hold("p", ms(650)), "one write proceeds, to detect that the failure has ended")
	second := h.Sent("p", ms(660), true)
	held = h.Hold("p", ms(661))
	require.NotNil(t, held, "the others wait for that write")
	second(ms(680), true)
	<-held.Done
	require.True(t, held.Answered)
	h.Sent("p", ms(700), true)
	require.Nil(t, h.Hold("p", ms(710)), "writes are confirmed again")
	held = h.Hold("p", ms(1300))
	h.Watch("q")
	<-held.Done
	require.False(t, held.Answered)
}

package lane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

// sampled returns estimates after one second of statements of two classes, of 10 and 50 ms.
func sampled() (*serviceTimes, clock.Time) {
	s := &serviceTimes{}
	return s, record(s, 0, 1)
}

// record adds one second of service times, each slower by a factor, and returns the time after it.
func record(s *serviceTimes, now clock.Time, factor time.Duration) clock.Time {
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		s.record(now, 1, factor*10*time.Millisecond)
		s.record(now, 2, factor*50*time.Millisecond)
	}
	return now
}

func requireNear(t *testing.T, s *serviceTimes, now clock.Time, class uint32, want time.Duration) {
	t.Helper()
	mean, _ := s.of(now, class)
	require.InEpsilon(t, want, mean, 0.5, "class %d: %s", class, mean)
}

// Failure guarded against: the target hangs for three seconds and then answers, and requests are
// refused because each is expected to take as long.
func TestHangDoesNotPoisonTheEstimate(t *testing.T) {
	s, now := sampled()
	for range 6 {
		s.record(now, 1, 3*time.Second)
	}
	mean, _ := s.of(now, 1)
	require.Less(t, mean, 100*time.Millisecond)
	requireNear(t, s, record(s, now, 1), 1, 10*time.Millisecond)
}

// Failure guarded against: a target that has become five times slower, or quick again, is taken for
// what it was.
func TestEstimateFollowsTheTarget(t *testing.T) {
	s, now := sampled()
	now = record(s, now, 5)
	requireNear(t, s, now, 1, 50*time.Millisecond)
	requireNear(t, s, now, 2, 250*time.Millisecond)
	now = record(s, now, 1)
	requireNear(t, s, now, 1, 10*time.Millisecond)
	requireNear(t, s, now, 2, 50*time.Millisecond)
}

// Failure guarded against: a gateway that has just restarted refuses by the first answers.
func TestFewSamplesDecideNothing(t *testing.T) {
	s := &serviceTimes{}
	s.record(1, 1, 3*time.Second)
	require.False(t, s.known())
	l := &Lane{maxRunning: 1, open: 1}
	l.waiting.times, l.waiting.detectsLate = *s, true
	l.waiting.push(&waiter{work: time.Minute})
	require.NoError(t, l.admit(2, &waiter{}, time.Second))
}

// Failure guarded against: a class that is seen no longer counts as it was hours ago, and the
// classes of ever new routes fill the memory.
func TestClassesAreForgotten(t *testing.T) {
	s, now := sampled()
	requireNear(t, s, now, 2, 50*time.Millisecond)
	mean, _ := s.of(now.Add(classMemory), 2)
	require.Equal(t, s.average.mean, mean)
	for class := range uint32(2 * maxClasses) {
		s.record(now, 10+class, time.Millisecond)
	}
	require.Len(t, s.classes, maxClasses)
	s.record(now.Add(2*classMemory), 9, time.Millisecond)
	require.Len(t, s.classes, 1)
}

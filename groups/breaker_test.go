package groups

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

func admitted(b *Breaker, at clock.Time, n Need) bool {
	_, ok := b.Admits(at, n)
	return ok
}

// A network partition leaves a VM with a primary that confirms nothing. Requests wait at first, as
// they do during a change of primary. Then they are refused at once except for a periodic probe,
// and as soon as one is served all are tried again.
func TestBreakerOpensAfterAWhileAndLetsAProbeThrough(t *testing.T) {
	var b Breaker
	require.True(t, admitted(&b, ms(0), Write))
	b.Failed(ms(1), ms(1), Unresponsive)
	b.Failed(ms(500), ms(500), Unresponsive)
	require.True(t, admitted(&b, ms(700), Write))
	require.True(t, admitted(&b, ms(701), Write), "the probe")
	cause, ok := b.Admits(ms(702), ExactRead)
	require.False(t, ok)
	require.Equal(t, Unresponsive, cause)
	require.False(t, admitted(&b, ms(900), Write))
	require.True(t, admitted(&b, ms(901), Write), "the next probe")
	b.Failed(ms(1900), ms(1900), Unresponsive)
	require.True(t, admitted(&b, ms(1901), Write))
	require.False(t, admitted(&b, ms(1902), Write))
	b.Served(ms(1902), ExactRead)
	require.True(t, admitted(&b, ms(1903), Write))
	require.True(t, admitted(&b, ms(1904), Write))
}

// A service with few requests has one unanswered request. Much later requests must not be refused
// for it.
func TestOneFailureLongAgoOpensNothing(t *testing.T) {
	var b Breaker
	b.Failed(ms(1), ms(1), Unresponsive)
	for i := range 5 {
		require.True(t, admitted(&b, ms(10_000+i), Write))
	}
	b.Failed(ms(10_010), ms(10_010), Unresponsive)
	require.True(t, admitted(&b, ms(10_020), Write))
	require.True(t, admitted(&b, ms(10_030), Write))
}

// Failure guarded against: the first request of an outage waits for its whole time, and the VM counts
// the outage from the end of that wait only.
func TestAnOutageBeginsWithItsFirstWait(t *testing.T) {
	var b Breaker
	b.Failed(ms(1400), ms(600), Unproven)
	require.True(t, admitted(&b, ms(1401), ExactRead), "the probe")
	require.False(t, admitted(&b, ms(1402), ExactRead))
}

// Load: a VM of a large fleet has two requests a second for a service that cannot serve for ten
// seconds. Failure guarded against: each of them comes later than the interval of probes, is admitted
// and waits.
func TestRareRequestsAreRefusedAtOnceToo(t *testing.T) {
	var b Breaker
	b.Failed(ms(1000), ms(1), Unproven)
	waited := 0
	for at := 1500; at < 10_000; at += 500 {
		if admitted(&b, ms(at), ExactRead) {
			waited++
			b.Failed(ms(at+300), ms(at), Unproven)
		}
	}
	require.Less(t, waited, 12, "of 17")
	b.Served(ms(10_000), ExactRead)
	require.True(t, admitted(&b, ms(10_000), ExactRead))
}

// Failure guarded against: a primary that confirms no write is cut off from readers, whom it serves,
// or reads that it serves let all writes through.
func TestAStallConcernsWritesOnly(t *testing.T) {
	var b Breaker
	b.Failed(ms(1000), ms(1), Stalled)
	require.True(t, admitted(&b, ms(1001), ExactRead))
	require.True(t, admitted(&b, ms(1002), Write), "the probe")
	b.Served(ms(1003), ExactRead)
	require.False(t, admitted(&b, ms(1004), Write))
	b.Served(ms(1005), Write)
	require.True(t, admitted(&b, ms(1006), Write))
}

// Failure guarded against: changes of primary take longer than was assumed, and in each of them
// requests are refused that would have been served within their time. An outage that outlasts all
// callers must not make them wait either.
func TestBreakerLearnsHowLongAnOutageLasts(t *testing.T) {
	var b Breaker
	for n := range 20 {
		begun := ms(10_000 * (n + 1))
		b.Failed(begun.Add(time.Second), begun, NoPrimary)
		b.Served(begun.Add(1500*time.Millisecond), Write)
	}
	require.InDelta(t, 1500, b.Usual(NoPrimary).Milliseconds(), 20)
	begun := ms(1_000_000)
	b.Failed(begun.Add(time.Second), begun, NoPrimary)
	require.True(t, admitted(&b, begun.Add(1200*time.Millisecond), Write))
	require.True(t, admitted(&b, begun.Add(1201*time.Millisecond), Write))
	b.Failed(begun.Add(3*time.Second), begun, NoPrimary)
	b.Served(begun.Add(4*time.Second), Write)
	require.InDelta(t, 1500, b.Usual(NoPrimary).Milliseconds(), 20)
}

// Failure guarded against: a VM is suspended during an outage, and refuses requests after that for a
// cause of before.
func TestSuspendedVMForgetsAnOutage(t *testing.T) {
	var b Breaker
	b.Failed(ms(1000), ms(1), NoPrimary)
	for i := range 5 {
		require.True(t, admitted(&b, ms(60_000+i), Write))
	}
}

// Failure guarded against: callers that were refused in an outage come back together at its end, or
// those who are refused after its usual end are sent away for as long as the first ones.
func TestCallersReturnLittleFasterThanTheyCame(t *testing.T) {
	const callers, interval = 40, 20 * time.Millisecond
	var b Breaker
	b.Failed(ms(1), ms(1), NoPrimary)
	back := make(map[clock.Time]int)
	for n := range callers {
		now := ms(1).Add(time.Duration(n) * interval)
		after := b.RetryAfter(now, NoPrimary, 1, time.Second, 0)
		require.Positive(t, after)
		back[now.Add(after)/clock.Time(100*time.Millisecond)]++
	}
	for at, n := range back {
		require.LessOrEqual(t, n, 2*int(100*time.Millisecond/interval), "in one tenth of a second from %d", at)
	}
	require.Less(t, b.RetryAfter(ms(1).Add(callers*interval), NoPrimary, 1, time.Second, 0), 500*time.Millisecond)
	require.Zero(t, b.RetryAfter(ms(1), NoPrimary, 1, 100*time.Millisecond, 0), "its time is over before")
}

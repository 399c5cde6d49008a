package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/timeline"
)

func at(ms int) clock.Time { return clock.Time(time.Duration(ms+1) * time.Millisecond) }

func pos(term, n int) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
}

// A primary that was replaced, and is cut off from everybody but this VM, goes
// on answering. Its word alone must never count as evidence.
func TestSampleWithoutWitnessProvesNothing(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(0), pos(1, 10))
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok)
	b.Witness(1, "r", at(50))
	p, ok := b.Floor(at(100), time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 10), p)
}

// The witness was asked before the sample: a promotion may lie between them.
func TestWitnessBeforeTheSampleDoesNotCount(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(50))
	b.Sample(1, "p", at(200), pos(1, 20))
	p, ok := b.Floor(at(300), time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 10), p)
	_, ok = b.Floor(at(300), 150*time.Millisecond)
	require.False(t, ok, "what was sampled in time is not proven")
}

// A replica that holds more than the primary had at a moment has received it
// since, and was not paused then: reads renew the evidence for nothing.
func TestReplicaPositionBeyondTheSampleIsAWitness(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Seen("r", pos(1, 10))
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok, "the position may have been received before")
	b.Seen("r", pos(1, 11))
	_, ok = b.Floor(at(100), time.Second)
	require.True(t, ok)
}

// Half of the fleet was cut off with the old primary while the other half
// replaced it. When the cut heals, a VM believes in the new one, but the old
// one still answers, with positions of its own log that nobody else holds. Taken
// for a replica's, they proved its own samples, and a read missed a commit.
func TestSupersededPrimaryIsNoWitnessForItself(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Seen("p", pos(1, 12))
	b.Witness(1, "p", at(50))
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok)
	require.False(t, b.WitnessedSince(1, at(0)))
}

func TestLaterTermStartsAnew(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(50))
	b.Sample(2, "r", at(100), pos(2, 9))
	_, ok := b.Floor(at(150), time.Second)
	require.False(t, ok)
	b.Sample(1, "p", at(160), pos(1, 11))
	require.False(t, b.WitnessedSince(1, at(0)))
}

// The oldest position that still proves the age is wanted: replicas that are
// behind most likely hold it.
func TestFloorIsTheOldestThatProvesTheAge(t *testing.T) {
	b := &Board{}
	for i := range 10 {
		b.Sample(1, "p", at(i*100), pos(1, 10+i))
	}
	b.Witness(1, "r", at(950))
	p, ok := b.Floor(at(1000), 500*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, pos(1, 16), p, "the first sent after 1000 - 500 + margin")
}

func TestRelayedProofsAreKeptInOrder(t *testing.T) {
	b := &Board{}
	b.Sample(1, "p", at(500), pos(1, 20))
	b.Relay(Proof{Term: 1, Leader: "p", At: at(300), Position: pos(1, 15)})
	p, ok := b.Floor(at(1000), 2*time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 15), p)
	newest, _ := b.Newest()
	require.Equal(t, at(300), newest.At, "the later sample has no witness yet")
}

func TestSamplesAreBounded(t *testing.T) {
	b := &Board{}
	for i := range 500 {
		b.Relay(Proof{Term: 1, Leader: "p", At: at(i * 60), Position: pos(1, i+1)})
		b.Sample(1, "p", at(i*60+55), pos(1, i+1))
	}
	require.LessOrEqual(t, len(b.samples), maxSamples+1)
}

// The primary starts again with an empty log. What it had told in its term is what a
// read that must see everything asks it for, so that it cannot answer from nothing.
func TestLeaderIsAskedForWhatItHasTold(t *testing.T) {
	b := &Board{}
	require.True(t, b.Stood(1, "p").IsZero())
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Sample(1, "p", at(100), pos(1, 12))
	require.Equal(t, pos(1, 12), b.Stood(1, "p"))
	require.True(t, b.Stood(1, "q").IsZero(), "another target has told nothing")
	b.Sample(2, "q", at(200), pos(1, 11))
	require.True(t, b.Stood(1, "p").IsZero(), "what a discarded branch held is not asked for")
	require.Equal(t, pos(1, 11), b.Stood(2, "q"))
}

// A read looks for evidence, and the primary has been asked where it stands just now.
func TestSampledIsOfTheTerm(t *testing.T) {
	b := &Board{}
	require.Zero(t, b.Sampled(0))
	b.Sample(3, "p", at(100), pos(3, 7))
	b.Sample(3, "p", at(200), pos(3, 8))
	require.Equal(t, at(200), b.Sampled(3))
	require.Zero(t, b.Sampled(4))
	b.Witness(4, "r", at(300))
	require.Zero(t, b.Sampled(4), "a later term's evidence starts anew")
}

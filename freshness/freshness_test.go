package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

func at(ms int) clock.Time { return clock.Time(time.Duration(ms+1) * time.Millisecond) }

func pos(term, n int) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
}

// A primary that was replaced, and is cut off from all but this VM, still answers. Its reply alone
// must never count as evidence.
func TestSampleWithoutWitnessProvesNothing(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok)
	b.Witness(1, "r", at(50), Unlimited)
	p, ok := b.Floor(at(100), time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 10), p)
}

// The witness was queried before the sample: a promotion may lie between them.
func TestWitnessBeforeTheSampleDoesNotCount(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(50), Unlimited)
	b.Sample(1, "p", at(200), pos(1, 20))
	p, ok := b.Floor(at(300), time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 10), p)
	_, ok = b.Floor(at(300), 150*time.Millisecond)
	require.False(t, ok, "the sample that is recent enough has no witness")
}

// A replica that holds more than the primary had at a time has received it since, and was not
// paused then, so that reads renew the evidence without a status query.
func TestReplicaPositionBeyondTheSampleIsAWitness(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Seen("r", pos(1, 10), Unlimited)
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok, "the position may have been received before")
	b.Seen("r", pos(1, 11), Unlimited)
	_, ok = b.Floor(at(100), time.Second)
	require.True(t, ok)
}

// Half of the fleet was cut off with the old primary while the other half replaced it. When the
// partition ends, a VM considers the new one the primary, but the old one still answers, with
// positions of its own log that no other target holds. Accepted as a replica's positions, they
// proved its own samples, and a read missed a commit.
func TestSupersededPrimaryIsNoWitnessForItself(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Seen("p", pos(1, 12), Unlimited)
	b.Witness(1, "p", at(50), Unlimited)
	_, ok := b.Floor(at(100), time.Second)
	require.False(t, ok)
	require.False(t, b.WitnessedSince(1, at(0)))
}

func TestLaterTermDiscardsEvidence(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(50), Unlimited)
	b.Sample(2, "r", at(100), pos(2, 9))
	_, ok := b.Floor(at(150), time.Second)
	require.False(t, ok)
	b.Sample(1, "p", at(160), pos(1, 11))
	require.False(t, b.WitnessedSince(1, at(0)))
}

// Floor returns the oldest position that still proves the age, since lagging replicas are the most
// likely to hold it.
func TestFloorIsTheOldestThatProvesTheAge(t *testing.T) {
	b := &Tracker{}
	for i := range 10 {
		b.Sample(1, "p", at(i*100), pos(1, 10+i))
	}
	b.Witness(1, "r", at(950), Unlimited)
	p, ok := b.Floor(at(1000), 500*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, pos(1, 16), p, "the first sent after 1000 - 500 + margin")
}

func TestMergedProofsAreOrdered(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(500), pos(1, 20))
	b.MergeProof(Proof{Term: 1, Leader: "p", At: at(300), Position: pos(1, 15)})
	p, ok := b.Floor(at(1000), 2*time.Second)
	require.True(t, ok)
	require.Equal(t, pos(1, 15), p)
	newest, _ := b.Newest()
	require.Equal(t, at(300), newest.At, "the later sample has no witness yet")
}

func TestSamplesAreBounded(t *testing.T) {
	b := &Tracker{}
	for i := range 500 {
		b.MergeProof(Proof{Term: 1, Leader: "p", At: at(i * 60), Position: pos(1, i+1)})
		b.Sample(1, "p", at(i*60+55), pos(1, i+1))
	}
	require.LessOrEqual(t, len(b.samples), maxSamples+1)
}

// The primary restarts with an empty log. A read that must see everything requires the position
// that the primary has reported in its term, so that it is not answered from the empty log.
func TestLastPositionOfLeader(t *testing.T) {
	b := &Tracker{}
	require.True(t, b.LastPosition(1, "p").IsZero())
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Sample(1, "p", at(100), pos(1, 12))
	require.Equal(t, pos(1, 12), b.LastPosition(1, "p"))
	require.True(t, b.LastPosition(1, "q").IsZero(), "another target has reported nothing")
	b.Sample(2, "q", at(200), pos(1, 11))
	require.True(t, b.LastPosition(1, "p").IsZero(), "a position of a discarded branch is not required")
	require.Equal(t, pos(1, 11), b.LastPosition(2, "q"))
}

// A read needs a sample, and the primary was queried recently: the sample counts only for its own
// term.
func TestSampledIsOfTheTerm(t *testing.T) {
	b := &Tracker{}
	require.Zero(t, b.Sampled(0))
	b.Sample(3, "p", at(100), pos(3, 7))
	b.Sample(3, "p", at(200), pos(3, 8))
	require.Equal(t, at(200), b.Sampled(3))
	require.Zero(t, b.Sampled(4))
	b.Witness(4, "r", at(300), Unlimited)
	require.Zero(t, b.Sampled(4), "a later term has no sample yet")
}

// receivedAt is a Sufficiency for reports that are received at a time, of a service whose targets are "p", "q" and "r".
func receivedAt(ms int, alone clock.Time) Sufficiency {
	return Sufficiency{At: at(ms), Alone: alone, Targets: []target.ID{"p", "q", "r"}}
}

// Failure guarded against: one replica that does not reach a new primary proves the old one, beyond the time
// up to which this VM knows of all promotions.
func TestOneReportProvesNothingBeyondWhatIsKnown(t *testing.T) {
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(90), receivedAt(100, at(100)))
	require.True(t, b.WitnessedSince(1, at(90)))
	b.Witness(1, "r", at(95), receivedAt(105, at(100)))
	require.False(t, b.WitnessedSince(1, at(91)), "its pause may have ended before it answered")
	b.Witness(1, "r", at(200), receivedAt(200, at(100)))
	require.False(t, b.WitnessedSince(1, at(91)), "a promotion may have ended its pause")
	b.Witness(1, "q", at(150), receivedAt(210, at(100)))
	require.True(t, b.WitnessedSince(1, at(150)), "no target has been promoted before")
	require.False(t, b.WitnessedSince(1, at(151)))
	b.Witness(1, "q", at(300), Sufficiency{At: at(300), Targets: []target.ID{"p", "q"}})
	require.False(t, b.WitnessedSince(1, at(151)), "a replica that has left may have been promoted")
	b.Witness(2, "q", at(400), receivedAt(400, at(100)))
	b.Sample(2, "p", at(400), pos(2, 11))
	b.Witness(2, "q", at(410), receivedAt(410, at(100)))
	require.False(t, b.WitnessedSince(2, at(1)), "the other replica's report is of the term before")
}

// Failure guarded against: a VM without the records takes the report of a replica whose pause a promotion has ended since
// its last report, or of any replica long after the last witness.
func TestReportCarriesAProofOnWithinThePauses(t *testing.T) {
	chained := func(ms int) Sufficiency {
		rule := receivedAt(ms, at(100))
		rule.Chain = 500 * time.Millisecond
		return rule
	}
	b := &Tracker{}
	b.Sample(1, "p", at(0), pos(1, 10))
	b.Witness(1, "r", at(50), chained(50))
	b.Witness(1, "r", at(540), chained(549))
	require.True(t, b.WitnessedSince(1, at(540)), "an attempt would still have paused it")
	b.Witness(1, "q", at(1000), chained(1039))
	require.True(t, b.WitnessedSince(1, at(1000)), "so it would any other replica")
	b.Witness(1, "q", at(1499), chained(1500))
	require.False(t, b.WitnessedSince(1, at(1001)), "an attempt may have paused it and promoted a target since")
	b.MergeProof(Proof{Term: 1, Leader: "p", At: at(1400), Position: pos(1, 12)})
	other := chained(1610)
	other.Primary = "q"
	b.Witness(1, "q", at(1600), other)
	require.False(t, b.WitnessedSince(1, at(1401)), "the records name another primary")
	other.Primary, other.Deposed = "", []target.ID{"p"}
	b.Witness(1, "q", at(1600), other)
	require.False(t, b.WitnessedSince(1, at(1401)), "it is being replaced")
	other.Deposed, other.After = []target.ID{"o"}, 1
	b.Witness(1, "q", at(1600), other)
	require.False(t, b.WitnessedSince(1, at(1401)), "it may have been replaced by the one that is being replaced")
	b.Witness(1, "q", at(1600), chained(1610))
	require.True(t, b.WitnessedSince(1, at(1600)), "another VM's proof begins the chain")
}

package ack

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

func write(term timeline.Term, lsn timeline.LSN, d profile.Durability) Write {
	return Write{
		Primary: "s1", Position: timeline.Position{Term: term, LSN: lsn},
		Committed: 100, Deadline: 1000, Durability: d,
	}
}

func report(asked clock.Time, id target.ID, term, promised timeline.Term, lsn timeline.LSN) Report {
	return Report{Asked: asked, Answered: asked + 5, Status: target.Status{Server: id, Term: term, Promised: promised, LSN: lsn}}
}

func group(term timeline.Term, primary target.ID, h ...timeline.Start) *view.Group {
	return &view.Group{Term: term, Primary: primary, History: h}
}

func TestGates(t *testing.T) {
	first := group(1, "s1", timeline.Start{Term: 1})
	second := group(2, "s2", timeline.Start{Term: 1}, timeline.Start{Term: 2, LSN: 10})
	tests := []struct {
		name    string
		group   *view.Group
		reports []Report
		w       Write
		now     clock.Time
		want    Decision
	}{
		{"replica has the write", first, []Report{report(101, "s2", 1, 1, 10)}, write(1, 10, profile.Confirmed), 110, Decision{Ack, ReasonConfirmed}},
		{"replica log is too short", first, []Report{report(101, "s2", 1, 1, 9)}, write(1, 10, profile.Confirmed), 110, Decision{Wait, ReasonWaiting}},
		{"longer log of another branch", first, []Report{report(101, "s2", 0, 1, 50)}, write(1, 10, profile.Confirmed), 110, Decision{Wait, ReasonWaiting}},
		{"report of the primary itself is no evidence", first, []Report{report(101, "s1", 1, 1, 50)}, write(1, 10, profile.Confirmed), 110, Decision{Wait, ReasonWaiting}},
		{"queried before the commit", first, []Report{report(99, "s2", 1, 1, 9)}, write(1, 10, profile.Witnessed), 110, Decision{Wait, ReasonWaiting}},
		{"promised a later term", first, []Report{report(101, "s2", 1, 2, 9)}, write(1, 10, profile.Witnessed), 110, Decision{Wait, ReasonWaiting}},
		{"witnessed", first, []Report{report(101, "s2", 1, 1, 3)}, write(1, 10, profile.Witnessed), 110, Decision{Ack, ReasonWitnessed}},
		{"deadline", first, nil, write(1, 10, profile.Confirmed), 1000, Decision{Unknown, ReasonDeadline}},
		{"discarded", second, nil, write(1, 11, profile.Confirmed), 110, Decision{Unknown, ReasonDiscarded}},
		{"retained, not yet confirmed", second, []Report{report(101, "s2", 2, 2, 10)}, write(1, 10, profile.Confirmed), 110, Decision{Wait, ReasonWaiting}},
		{"retained and confirmed in the new term", second, []Report{report(101, "s3", 2, 2, 10)}, write(1, 10, profile.Confirmed), 110, Decision{Ack, ReasonConfirmed}},
		{"history without the write's term", second, []Report{report(101, "s3", 2, 2, 99)}, write(0, 10, profile.Confirmed), 110, Decision{Unknown, ReasonOtherTerm}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence(tt.group)
			for _, r := range tt.reports {
				e.Observe(r)
			}
			require.Equal(t, tt.want, Standard().Decide(tt.w, e, tt.now))
		})
	}
}

func TestLeaseGateEndsBeforeItsPermission(t *testing.T) {
	e := NewEvidence(group(1, "s1", timeline.Start{Term: 1}))
	e.Grant(Permission{Term: 1, Asked: 100, Duration: 100})
	gate := Lease{MaxDrift: 0.1, Margin: 10}
	require.Equal(t, Ack, gate.Decide(write(1, 10, profile.Witnessed), e, 179).Result)
	require.Equal(t, Wait, gate.Decide(write(1, 10, profile.Witnessed), e, 180).Result)
	require.Equal(t, Wait, gate.Decide(write(2, 10, profile.Witnessed), e, 110).Result)
}

// Failure guarded against: a witness's answer from before the commit, either cached or late, or an
// answer of a fenced replica lets a superseded primary's write be acknowledged.
func TestGuardsDecideTheResult(t *testing.T) {
	tests := []struct {
		guard  guard.Name
		report Report
	}{
		{GuardAskedAfter, report(99, "s2", 1, 1, 3)},
		{GuardPromised, report(101, "s2", 1, 2, 3)},
	}
	for _, tt := range tests {
		e := NewEvidence(group(1, "s1", timeline.Start{Term: 1}))
		e.Observe(tt.report)
		w := write(1, 10, profile.Witnessed)
		require.Equal(t, Wait, Witness{}.Decide(w, e, 110).Result)
		require.Equal(t, Ack, Witness{Guards: guard.Without(tt.guard)}.Decide(w, e, 110).Result)
	}
}

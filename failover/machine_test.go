package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const ms = clock.Time(time.Millisecond)

func testGroup() view.Group {
	return view.Group{
		Name: "ledger", Term: 1, Primary: "s1", Reserved: 1,
		History: timeline.History{{Term: 1}},
		Servers: []view.Server{
			{ID: "s1", Addr: "10.0.0.1:1", Zone: "a"},
			{ID: "s2", Addr: "10.0.0.2:1", Zone: "b"},
			{ID: "s3", Addr: "10.0.0.3:1", Zone: "c"},
		},
	}
}

func newMachine() *Machine {
	cfg := Default()
	cfg.VM, cfg.Zone, cfg.Incarnation = "vm1", "a", "vm1#1"
	return New(cfg, "ledger", rand.New(rand.NewPCG(1, 1)))
}

func find[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

// lead gives the Machine its group, the lease and a block of terms.
func lead(t *testing.T, m *Machine) {
	t.Helper()
	m.Step(ms, GroupLearned{Group: testGroup(), Version: 1})
	m.Step(ms, LeaseResult{Asked: ms})
	actions := m.Step(ms+1, Tick{})
	if renew, ok := find[RenewLease](actions); ok {
		m.Step(ms+2, LeaseResult{Holder: renew.Holder, Version: 1, Asked: renew.Asked})
	}
	reserve, ok := find[Reserve](actions)
	require.True(t, ok)
	m.Step(ms+2, ReserveResult{Term: reserve.Group.Reserved, Version: 2})
	require.True(t, m.Leads())
}

// A late copy of an old answer from the store must not give a term that was
// used already: two candidates would be promoted in it.
func TestLateReserveAnswerGivesNoUsedTerm(t *testing.T) {
	m := newMachine()
	lead(t, m)
	term, ok := m.usableTerm()
	require.True(t, ok)
	m.terms.used = m.terms.to
	m.Step(2*ms, ReserveResult{Term: m.terms.to, Version: 2})
	_, ok = m.usableTerm()
	require.False(t, ok)
	require.Greater(t, term, timeline.Term(1))
}

// A replica that was told to follow term 2 has not reached the start of that
// term yet, and the old primary comes back with the longer log of term 1. Some
// of that log was confirmed. Ranked by the term it follows, the short replica
// would win, and confirmed writes would be gone.
func TestRankOfFollowerBelowItsTermsStart(t *testing.T) {
	h := timeline.History{{Term: 1}, {Term: 2, LSN: 100}}
	behind := target.Status{Term: 2, LSN: 50, Start: 100}
	old := target.Status{Term: 1, LSN: 120}
	require.True(t, rank(behind, h).Less(rank(old, h)))
	require.Equal(t, timeline.LSN(100), startOf(old, 120, h))
}

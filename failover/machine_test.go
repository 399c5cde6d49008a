package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// makeLeaseHolder supplies the Machine with its group, the lease and a block of terms.
func makeLeaseHolder(t rapid.TB, m *Machine) {
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
	require.True(t, m.HoldsLease())
}

// Failure guarded against: a late duplicate of an earlier answer from the store makes a used term
// available again, and two candidates are promoted in that term.
func TestLateReserveAnswerGivesNoUsedTerm(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	term, ok := m.usableTerm()
	require.True(t, ok)
	m.terms.used = m.terms.to
	m.Step(2*ms, ReserveResult{Term: m.terms.to, Version: 2})
	_, ok = m.usableTerm()
	require.False(t, ok)
	require.Greater(t, term, timeline.Term(1))
}

// A replica that follows term 2 has not reached the start of that term yet, and the old primary
// returns with a longer log of term 1, part of which was confirmed. If the replica were ranked by
// the term that it follows, it would be promoted, and confirmed writes would be lost.
func TestRankOfFollowerBelowItsTermsStart(t *testing.T) {
	h := timeline.History{{Term: 1}, {Term: 2, LSN: 100}}
	behind := target.Status{Term: 2, LSN: 50, Start: 100}
	old := target.Status{Term: 1, LSN: 120}
	require.True(t, rank(behind, h).Less(rank(old, h)))
	require.Equal(t, timeline.LSN(100), termStart(old, 120, h))
}

// A VM promoted a server in term 3 and died before it announced the promotion. The next promotion
// finds a log of that term. Unless the start of term 3 is added to the history, a token with a
// position of term 3 cannot be compared.
func TestPromotionAddsUnannouncedTermToHistory(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	m.startAttempt(m.terms.to, "test")
	term := m.attempt.term
	for _, id := range []target.ID{"s2", "s3"} {
		st := target.Status{Server: id, Term: 3, LSN: 50, Start: 40, Promised: term}
		m.Step(3*ms, FenceAnswered{Server: id, Term: term, Status: st})
	}
	require.Equal(t, target.ID("s2"), m.attempt.candidate)
	m.Step(4*ms, PromoteAnswered{Server: "s2", Term: term, Status: target.Status{Server: "s2", Role: target.RolePrimary, Term: term, LSN: 50, Start: 50}})
	require.Equal(t, timeline.History{{Term: 1}, {Term: 3, LSN: 40}, {Term: term, LSN: 50}}, m.Group().History)
}

// A late answer to a command of an earlier attempt must not count as a promise or a promotion of
// the current one.
func TestLateAnswersOfAnOlderAttemptAreIgnored(t *testing.T) {
	m := newMachine()
	makeLeaseHolder(t, m)
	m.startAttempt(m.terms.to, "test")
	old := m.attempt.term - 1
	m.Step(3*ms, FenceAnswered{Server: "s2", Term: old})
	m.Step(3*ms, PromoteAnswered{Server: "s2", Term: old})
	require.Empty(t, m.attempt.fenced)
	require.Equal(t, timeline.Term(1), m.Group().Term)
}

// For any answers, in any order and with any duplicates, a Machine commands at most one server to
// be promoted in a term, and only after a majority has promised the term. Half of the Machines
// start with the lease and a block of terms. The others must obtain both through drawn events; few
// do, so alone they would test little.
func TestOneCandidatePerTerm(t *testing.T) {
	promotions := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		now := 2 * ms
		if rapid.Bool().Draw(t, "leads") {
			makeLeaseHolder(t, m)
		} else {
			m.Step(now, GroupLearned{Group: testGroup(), Version: 1})
		}
		candidates := map[timeline.Term]target.ID{}
		for range 300 {
			now += clock.Time(rapid.Int64Range(1, int64(40*ms)).Draw(t, "wait"))
			for _, a := range m.Step(now, drawEvent(t, m, now)) {
				p, ok := a.(Promote)
				if !ok {
					continue
				}
				if other, taken := candidates[p.Term]; taken {
					require.Equal(t, other, p.Server)
				}
				candidates[p.Term] = p.Server
				require.GreaterOrEqual(t, len(m.attempt.fenced), 2)
			}
		}
		promotions += len(candidates)
	})
	require.NotZero(t, promotions, "no run reached a promotion")
}

// drawEvent draws an event that a driver may pass. The primary mostly fails, so that attempts
// begin; answers to commands are successful, refused, late or lost.
func drawEvent(t *rapid.T, m *Machine, now clock.Time) Event {
	id := rapid.SampledFrom([]target.ID{"s1", "s2", "s3"}).Draw(t, "server")
	used := m.terms.used
	late := timeline.Term(rapid.Uint64Range(0, 1).Draw(t, "late"))
	st := target.Status{
		Server: id, Role: target.RoleReplica, Term: m.group.Term, Promised: max(used, 1),
		LSN: timeline.LSN(rapid.Uint64Range(0, 9).Draw(t, "lsn")),
	}
	refused := &target.FencedError{Server: id, CommandTerm: used, Promised: used + 1}
	events := []Event{
		Tick{}, Tick{}, Tick{}, Tick{},
		PeerReport{VM: "vm2", Zone: "b", Server: m.group.Primary, Asked: now - 1, Seen: true, LastGood: time.Second},
		LeaseResult{Holder: m.cfg.Incarnation, Version: m.lease.version + 1, Asked: now - 1},
		FenceAnswered{Server: id, Term: used - min(used, late), Status: st},
		FenceAnswered{Server: id, Term: used, Status: st},
		PromoteAnswered{Server: m.group.Primary, Term: used, Status: st},
		FenceAnswered{Server: id, Term: used, Err: refused},
		ReserveResult{Term: pendingTerm(m.store.pending), Version: m.store.version + 1},
	}
	if id == m.group.Primary {
		return rapid.SampledFrom(append(events, ProbeFailed{Server: id, Asked: now - 1}, HandoverRequested{Server: id})).Draw(t, "event")
	}
	answered := ProbeAnswered{Server: id, Asked: now - 1, Status: st}
	return rapid.SampledFrom(append(events, answered, answered, answered)).Draw(t, "event")
}

package groups

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// copiesService is a service of the primary "p" and the replicas "q" and "r", of whose connections some may
// break.
type copiesService struct {
	clk    manual
	broken map[target.ID]clock.Time
	h      *catalog.Holder
	r      *Registry
	g      *Group
}

// newCopiesService returns the service at a VM whose process starts now if started is set, and at one that has
// always run if not.
func newCopiesService(started bool) *copiesService {
	s := &copiesService{clk: manual{now: clock.Time(time.Second)}, broken: make(map[target.ID]clock.Time), h: catalog.NewHolder()}
	cfg := Config{Catalog: s.h, Clock: &s.clk, Log: zap.NewNop(), BrokenAt: func(id target.ID) clock.Time { return s.broken[id] }}
	if started {
		cfg.RecordsConfirmedAt = s.clk.Now
	}
	s.r = NewRegistry(cfg)
	s.h.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}})
	s.g = s.r.Group("s")
	s.list(10, 1, "q", "r")
	s.g.Leadership.RecordStatus("p", target.RolePrimary, 1)
	return s
}

func (s *copiesService) list(revision, incarnation int64, replicas ...target.ID) {
	listed := map[target.ID]*catalog.Target{"p": {ID: "p", Service: "s", Role: target.RolePrimary}}
	for _, id := range replicas {
		listed[id] = &catalog.Target{ID: id, Service: "s", Role: target.RoleReplica, Incarnation: incarnation}
	}
	s.h.SetTargets(listed, revision)
	s.r.Update(s.h.Load())
}

// Failure guarded against: what the others hold is judged by what the primary reported before a target has
// left, or by the position of a target that was paused since.
func TestCopiesAreVerifiedByReportsSinceADeparture(t *testing.T) {
	s := newCopiesService(false)
	leader := leadership.State{Primary: "p", Term: 1}
	require.True(t, s.g.OthersHoldLog("p"), "no target has left")
	before := s.clk.now
	s.clk.now += clock.Time(time.Second)
	s.list(20, 1, "q")
	require.False(t, s.g.OthersHoldLog("p"))
	s.g.RecordEnd(leader, before, at(1, 7))
	s.g.RecordCopy("q", s.clk.now, at(1, 9))
	require.False(t, s.g.OthersHoldLog("p"), "the primary was queried before the departure")
	s.g.RecordEnd(leader, s.clk.now, at(1, 10))
	s.g.RecordCopy("q", s.clk.now, at(1, 10))
	require.False(t, s.g.OthersHoldLog("p"), "the replica may have been paused since it received this")
	s.g.RecordCopy("q", s.clk.now, at(1, 11))
	require.True(t, s.g.OthersHoldLog("p"))
}

// Failure guarded against: a replica restarts without its log, and its entry states no incarnation.
func TestCopiesAreVerifiedAfterABrokenConnection(t *testing.T) {
	s := newCopiesService(false)
	s.clk.now += clock.Time(time.Second)
	s.broken["q"] = s.clk.now
	require.False(t, s.g.OthersHoldLog("p"))
	s.g.RecordEnd(leadership.State{Primary: "p", Term: 1}, s.clk.now, at(1, 10))
	s.g.RecordCopy("r", s.clk.now, at(1, 11))
	require.True(t, s.g.OthersHoldLog("p"))
}

// Failure guarded against: a replica restarts without its log, as its entry states.
func TestCopiesAreVerifiedAfterARestart(t *testing.T) {
	s := newCopiesService(false)
	s.clk.now += clock.Time(time.Second)
	s.list(20, 2, "q", "r")
	require.False(t, s.g.OthersHoldLog("p"))
}

// Failure guarded against: a process that has started since a target left takes the others' logs for whole.
func TestCopiesAreVerifiedAfterTheStartOfAProcess(t *testing.T) {
	s := newCopiesService(true)
	require.False(t, s.g.OthersHoldLog("p"))
	s.g.RecordEnd(leadership.State{Primary: "p", Term: 1}, s.clk.now, at(1, 10))
	s.g.RecordCopy("r", s.clk.now, at(1, 11))
	require.True(t, s.g.OthersHoldLog("p"))
}

// Failure guarded against: a primary that has stepped down reports the role replica, and its own log counts as
// another target's copy.
func TestPrimaryThatHasSteppedDownIsNoCopy(t *testing.T) {
	s := newCopiesService(false)
	s.clk.now += clock.Time(time.Second)
	s.list(20, 1, "q")
	s.g.observe("p", statement.Status{Role: target.RolePrimary, Term: 1, Received: at(1, 10)}, s.clk.now)
	s.g.observe("p", statement.Status{Role: target.RoleReplica, Term: 1, Received: at(1, 10)}, s.clk.now)
	require.False(t, s.g.OthersHoldLog("p"))
	s.g.observe("q", statement.Status{Role: target.RoleReplica, Term: 1, Received: at(1, 10)}, s.clk.now)
	require.True(t, s.g.OthersHoldLog("p"))
}

// Failure guarded against: a replica restarts without its log, and a gateway's report of it from before counts as its
// copy, or the answer to a statement that was sent to it before.
func TestReportFromBeforeARestartIsNoCopy(t *testing.T) {
	for name, record := range map[string]func(s *copiesService, sent clock.Time){
		"status": func(s *copiesService, sent clock.Time) {
			s.g.observe("q", statement.Status{Role: target.RoleReplica, Term: 1, Received: at(1, 10)}, sent)
		},
		"answer": func(s *copiesService, sent clock.Time) { s.g.RecordCopy("q", sent, at(1, 11)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newCopiesService(false)
			before := s.clk.now
			s.clk.now += clock.Time(time.Second)
			s.broken["q"] = s.clk.now
			s.g.recordReadAt = s.clk.now // The replica is a witness again.
			s.g.RecordEnd(leadership.State{Primary: "p", Term: 1}, s.clk.now, at(1, 10))
			record(s, before)
			require.False(t, s.g.OthersHoldLog("p"))
			s.g.RecordEnd(leadership.State{Primary: "p", Term: 1}, s.clk.now, at(1, 10))
			record(s, s.clk.now)
			require.True(t, s.g.OthersHoldLog("p"))
		})
	}
}

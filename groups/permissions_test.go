package groups

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/internal/drawn"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// permissionsWorld is a service whose primary "p" is replaced by "q", and a VM that hears of the records late.
// "p" continues to answer.
type permissionsWorld struct {
	script   drawn.Script
	now      clock.Time
	statuses map[target.ID]statement.Status
	record   catalog.LeadershipRecord
	// confirmedAt is as of when the VM knows the records, and behindCut is set while it hears of none.
	confirmedAt   clock.Time
	knownRevision catalog.Revision
	behindCut     bool
	// apart is set if the VM does not reach "q" once that leads, and deaf if "r" does not.
	apart, deaf bool
	// listed is set if the VM is on the fleet's list.
	listed   bool
	asked    bool // the VM has given up its permission
	fencedAt clock.Time
	promoted bool
	// paused has the runs of the targets that the attempt has paused, and runs and broken when each target was
	// started, and when the VM's connection to it last broke.
	paused map[target.ID]int64
	runs   map[target.ID]int64
	broken map[target.ID]clock.Time

	holder   *catalog.Holder
	registry *Registry
	group    *Group
}

// The interval of the events, and how long a promotion takes.
const (
	permissionsStep = 10 * time.Millisecond
	promotionTime   = 300 * time.Millisecond
)

func newPermissionsWorld(script []int) *permissionsWorld {
	w := &permissionsWorld{script: script, listed: true, now: clock.Time(time.Second), holder: catalog.NewHolder(), record: catalog.LeadershipRecord{Service: "s", Revision: 10}}
	w.statuses = map[target.ID]statement.Status{
		"p": {Role: target.RolePrimary, Term: 1, Received: at(1, 7)},
		"q": {Role: target.RoleReplica, Term: 1, Received: at(1, 7)},
		"r": {Role: target.RoleReplica, Term: 1, Received: at(1, 7)},
	}
	w.runs = map[target.ID]int64{"p": 1, "q": 1, "r": 1}
	w.paused, w.broken = make(map[target.ID]int64), make(map[target.ID]clock.Time)
	w.holder.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", SyncReplicas: 1}}})
	w.holder.SetTargets(w.targets(), 5)
	w.registry = NewRegistry(Config{
		Catalog: w.holder, Control: w, Clock: w, Log: zap.NewNop(), Records: w,
		Eligible: func() bool { return w.listed }, RecordsConfirmedAt: func() clock.Time { return w.confirmedAt },
		RecordsRevision: func() catalog.Revision { return w.knownRevision }, BrokenAt: func(id target.ID) clock.Time { return w.broken[id] },
		Decode: func(row string) (statement.Status, error) { return w.statuses[target.ID(row)], nil },
	})
	w.group = w.registry.Group("s")
	w.hearRecords()
	w.query("p")
	return w
}

// targets is the store's list.
func (w *permissionsWorld) targets() map[target.ID]*catalog.Target {
	listed := make(map[target.ID]*catalog.Target)
	for id, s := range w.statuses {
		listed[id] = &catalog.Target{ID: id, Service: "s", Role: s.Role, Incarnation: w.runs[id]}
	}
	return listed
}

func (w *permissionsWorld) Now() clock.Time { return w.now }

// Control implements ControlClient.
func (w *permissionsWorld) Control(context.Context, target.ID, lane.Command, time.Duration) ([]string, error) {
	return nil, errors.New("the VM sends no command")
}

// Current implements Records.
func (w *permissionsWorld) Current(context.Context, string) (*catalog.LeadershipRecord, error) {
	if w.behindCut {
		return nil, errors.New("the store is unreachable")
	}
	r := w.record
	return &r, nil
}

// Recent implements ControlClient.
func (w *permissionsWorld) Recent(_ context.Context, id target.ID, _, _ time.Duration) ([]string, time.Duration, error) {
	if _, present := w.statuses[id]; !present || w.apart && w.promoted && id == "q" {
		return nil, 0, errors.New("no answer")
	}
	return []string{string(id)}, 0, nil
}

func (w *permissionsWorld) query(id target.ID) {
	_, _ = w.group.Status(context.Background(), id, spending.Witness, time.Second)
}

func (w *permissionsWorld) hearRecords() {
	if w.behindCut {
		return
	}
	r := w.record
	w.confirmedAt, w.knownRevision = w.now, r.Revision
	w.holder.SetLeadershipRecord(&r)
	w.registry.Update(w.holder.Load())
}

func (w *permissionsWorld) write(primary target.ID, a *catalog.Attempt) {
	w.record.Revision++
	w.record.Primary, w.record.Attempt = primary, a
}

// advanceAttempt makes the next step of the change of primary.
func (w *permissionsWorld) advanceAttempt() {
	switch open := w.record.Attempt != nil; {
	case !open && !w.promoted:
		w.write(w.record.Primary, &catalog.Attempt{Holder: "other", Deposed: "p"})
		w.asked, w.fencedAt = false, 0
	case open && w.fencedAt == 0:
		if w.asked = w.listed && w.script.Choose(2) == 0; w.asked {
			w.group.Revoke(w.record.Revision, "p")
		}
		w.pauseReplicas()
		w.fencedAt = w.now
	case open && !w.promoted && (w.script.Choose(4) == 0 || !w.stillPaused()):
		w.setReplicas(1, 0)
		w.write("p", nil)
	case open && !w.promoted:
		if w.listed && !w.asked {
			w.now = max(w.now, w.fencedAt.Add(takeover.Permission))
		}
		w.now = w.now.Add(promotionTime)
		w.setReplicas(2, 0)
		if w.deaf {
			w.statuses["r"] = statement.Status{Role: target.RoleReplica, Term: 1, Received: at(1, 7)}
		}
		w.statuses["q"] = statement.Status{Role: target.RolePrimary, Term: 2, Received: at(1, 7)}
		w.promoted = true
	case open:
		w.write("q", nil)
	}
}

// replicas are the targets other than "p".
func (w *permissionsWorld) replicas() (out []target.ID) {
	for _, id := range []target.ID{"q", "r", "n"} {
		if _, present := w.statuses[id]; present {
			out = append(out, id)
		}
	}
	return out
}

func (w *permissionsWorld) setReplicas(term, paused timeline.Term) {
	for _, id := range w.replicas() {
		w.statuses[id] = statement.Status{Role: target.RoleReplica, Term: term, Paused: paused, Received: at(1, 7)}
	}
}

func (w *permissionsWorld) pauseReplicas() {
	w.setReplicas(1, 2)
	clear(w.paused)
	for _, id := range w.replicas() {
		w.paused[id] = w.runs[id]
	}
}

// stillPaused reports whether the attempt finds each target in the run in which it was paused. It pauses one that
// has joined since.
func (w *permissionsWorld) stillPaused() bool {
	for _, id := range w.replicas() {
		if run, paused := w.paused[id]; paused && run != w.runs[id] {
			return false
		}
	}
	return true
}

// start starts a replica anew, without a pause, at a VM that has a connection to it or none.
func (w *permissionsWorld) start(id target.ID) {
	if id == "q" && w.promoted {
		return
	}
	w.runs[id]++
	if w.runs[id] > 1 {
		w.broken[id] = w.now
	}
	w.record.Revision++
	s := statement.Status{Role: target.RoleReplica, Term: 1, Received: at(1, 7)}
	if w.promoted && !(w.deaf && id == "r") {
		s.Term = 2
	}
	w.statuses[id] = s
}

func (w *permissionsWorld) act(event string) {
	switch event {
	case "attempt":
		w.advanceAttempt()
	case "query":
		w.query([]target.ID{"p", "q", "r"}[w.script.Choose(3)])
	case "query replicas":
		for _, t := range w.group.Replicas("p") {
			w.query(t.ID)
		}
	case "records":
		w.hearRecords()
	case "cut":
		w.behindCut = true
	case "expire":
		// The holder of the attempt has died, or the VM hears nothing of its end.
		w.now = w.now.Add(takeover.ExpireAfter)
	case "restart":
		w.start([]target.ID{"q", "r"}[w.script.Choose(2)])
	case "join":
		if _, present := w.statuses["n"]; !present {
			w.start("n")
		}
	case "leave":
		if !w.promoted || w.script.Choose(2) == 0 {
			delete(w.statuses, "n")
		}
	case "targets":
		if !w.behindCut {
			w.holder.SetTargets(w.targets(), w.record.Revision)
			w.registry.Update(w.holder.Load())
		}
	}
}

// proofs counts what a VM was permitted to assume before the promotions of some worlds.
type proofs struct{ promotions, proven, behindCut int }

// playPermissions draws orders of events in a world. No proof of the old primary may follow the promotion.
func playPermissions(t *testing.T, set func(w *permissionsWorld), proves func(w *permissionsWorld) bool, events ...string) (n proofs) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 80, 80).Draw(rt, "choices")
		var trace []string
		disproved := false
		bubble.Test(t, func(*testing.T) {
			w := newPermissionsWorld(script)
			set(w)
			for len(w.script) > 0 {
				w.now = w.now.Add(permissionsStep)
				event := events[w.script.Choose(len(events))]
				w.act(event)
				is := proves(w)
				// Queries that were begun end before the world changes.
				synctest.Wait()
				trace = append(trace, fmt.Sprintf("%v %s: promoted %v, proves %v", time.Duration(w.now), event, w.promoted, is))
				disproved = disproved || w.promoted && is
				switch {
				case w.promoted || !is:
				case w.behindCut:
					n.behindCut++
				default:
					n.proven++
				}
			}
			if w.promoted {
				n.promotions++
			}
		})
		require.False(rt, disproved, "the old primary is proven:\n%s", strings.Join(trace, "\n"))
	})
	return n
}

var oldPrimary = leadership.State{Primary: "p", Term: 1}

// Failure guarded against: the record of an attempt ends before a VM hears of the new primary. A permission
// that it had given up holds again, by evidence from before the attempt, and it reads at the old primary.
func TestNoOrderOfRecordsRestoresAPermission(t *testing.T) {
	permitted := func(w *permissionsWorld) bool { return w.group.Permitted(oldPrimary, w.now) }
	n := playPermissions(t, func(*permissionsWorld) {}, permitted, "attempt", "attempt", "query", "records")
	require.NotZero(t, n.promotions)
	require.NotZero(t, n.proven)
}

// Failure guarded against: the same after the time of an attempt, whose holder has died or whose end the VM does not hear
// of, and over several attempts.
func TestNoOrderOfExpiredAttemptsRestoresAPermission(t *testing.T) {
	permitted := func(w *permissionsWorld) bool { return w.group.Permitted(oldPrimary, w.now) }
	n := playPermissions(t, func(*permissionsWorld) {}, permitted, "attempt", "attempt", "attempt", "query", "query replicas", "records", "expire")
	require.NotZero(t, n.promotions)
	require.NotZero(t, n.proven)
}

// Failure guarded against: a promotion has ended all pauses, and a replica that does not reach the new primary
// reports the old term. A VM behind a cut, or that is not on the fleet's list, takes it for a witness.
func TestNoOrderOfDeafReplicasProvesAReplacedPrimary(t *testing.T) {
	proves := func(w *permissionsWorld) bool {
		return w.group.Permitted(oldPrimary, w.now) || w.group.Prove(context.Background(), oldPrimary, 0, w.now) == nil
	}
	deaf := func(w *permissionsWorld) { w.deaf, w.apart, w.listed = true, true, w.script.Choose(2) == 0 }
	n := playPermissions(t, deaf, proves, "attempt", "attempt", "query", "records", "cut")
	require.NotZero(t, n.promotions)
	require.NotZero(t, n.proven)
	require.NotZero(t, n.behindCut, "all replicas prove it without the records")
}

// Failure guarded against: the same while targets join, leave and restart amid an attempt, at a VM that the holder of the
// attempt waits for or not.
func TestNoOrderOfStartsAmidAnAttemptProvesAReplacedPrimary(t *testing.T) {
	proves := func(w *permissionsWorld) bool {
		return w.group.Permitted(oldPrimary, w.now) || w.group.Prove(context.Background(), oldPrimary, 0, w.now) == nil
	}
	deaf := func(w *permissionsWorld) { w.deaf, w.apart, w.listed = true, true, w.script.Choose(4) != 0 }
	n := playPermissions(t, deaf, proves, "attempt", "attempt", "query", "query replicas", "records", "cut", "expire", "restart", "join", "leave", "targets")
	require.NotZero(t, n.promotions)
	require.NotZero(t, n.proven)
	require.NotZero(t, n.behindCut, "the chain of reports proves it without the records")
}

// Failure guarded against: the old primary is dead, and its successor serves no exact read and no write until a VM hears
// that the attempt has ended, as when the store loses an answer.
func TestSuccessorIsProvenBeforeTheRecordOfItsAttemptEnds(t *testing.T) {
	for name, learn := range map[string]func(w *permissionsWorld){
		"the VM has heard the record": (*permissionsWorld).hearRecords,
		"the holder has told the VM":  func(w *permissionsWorld) { w.group.Revoke(w.record.Revision, "p") },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newPermissionsWorld(nil)
				w.group.TrustReplicas()
				w.write("p", &catalog.Attempt{Holder: "other", Deposed: "p"})
				learn(w)
				w.behindCut = true
				w.statuses["q"] = statement.Status{Role: target.RolePrimary, Term: 2, Received: at(1, 7)}
				w.statuses["r"] = statement.Status{Role: target.RoleReplica, Term: 2, Received: at(1, 7)}
				delete(w.statuses, "p")
				w.query("q")
				require.NoError(t, w.group.Prove(context.Background(), leadership.State{Primary: "q", Term: 2}, 0, w.now))
				require.Error(t, w.group.Prove(context.Background(), oldPrimary, 0, w.now))
			})
		})
	}
}

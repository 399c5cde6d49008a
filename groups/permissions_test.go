package groups

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// permissionsWorld is a service whose primary "p" is replaced by "q", and a VM on the fleet's list that hears
// of the records late. "p" continues to answer.
type permissionsWorld struct {
	t        *rapid.T
	now      clock.Time
	statuses map[target.ID]statement.Status
	record   catalog.LeadershipRecord
	asked    bool // the VM has given up its permission
	fencedAt clock.Time
	promoted bool

	holder   *catalog.Holder
	registry *Registry
	group    *Group
}

// The interval of the events, and how long a promotion takes.
const (
	permissionsStep = 10 * time.Millisecond
	promotionTime   = 300 * time.Millisecond
)

func newPermissionsWorld(t *rapid.T) *permissionsWorld {
	w := &permissionsWorld{t: t, now: clock.Time(time.Second), holder: catalog.NewHolder(), record: catalog.LeadershipRecord{Service: "s", Revision: 10}}
	w.statuses = map[target.ID]statement.Status{
		"p": {Role: target.RolePrimary, Term: 1, Received: at(1, 7)},
		"q": {Role: target.RoleReplica, Term: 1, Received: at(1, 7)},
		"r": {Role: target.RoleReplica, Term: 1, Received: at(1, 7)},
	}
	listed := make(map[target.ID]*catalog.Target)
	for id, s := range w.statuses {
		listed[id] = &catalog.Target{ID: id, Service: "s", Role: s.Role}
	}
	w.holder.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", SyncReplicas: 1}}})
	w.holder.SetTargets(listed, 5)
	w.registry = NewRegistry(Config{
		Catalog: w.holder, Control: w, Clock: w, Log: zap.NewNop(), Eligible: func() bool { return true },
		Decode: func(row string) (statement.Status, error) { return w.statuses[target.ID(row)], nil },
	})
	w.group = w.registry.Group("s")
	w.hearRecords()
	w.query("p")
	return w
}

func (w *permissionsWorld) Now() clock.Time { return w.now }

// Control implements ControlClient.
func (w *permissionsWorld) Control(context.Context, target.ID, lane.Command, time.Duration) ([]string, error) {
	return nil, errors.New("the VM sends no command")
}

// Recent implements ControlClient.
func (w *permissionsWorld) Recent(_ context.Context, id target.ID, _, _ time.Duration) ([]string, time.Duration, error) {
	return []string{string(id)}, 0, nil
}

func (w *permissionsWorld) query(id target.ID) {
	_, err := w.group.Status(context.Background(), id, spending.Witness, time.Second)
	require.NoError(w.t, err)
}

func (w *permissionsWorld) hearRecords() {
	r := w.record
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
		if w.asked = rapid.Bool().Draw(w.t, "asked"); w.asked {
			w.group.Revoke(w.record.Revision, "p")
		}
		w.setReplicas(1, 2)
		w.fencedAt = w.now
	case open && !w.promoted && rapid.IntRange(0, 3).Draw(w.t, "given up") == 0:
		w.setReplicas(1, 0)
		w.write("p", nil)
	case open && !w.promoted:
		if !w.asked {
			w.now = max(w.now, w.fencedAt.Add(takeover.Permission))
		}
		w.now = w.now.Add(promotionTime)
		w.setReplicas(2, 0)
		w.statuses["q"] = statement.Status{Role: target.RolePrimary, Term: 2, Received: at(1, 7)}
		w.promoted = true
	case open:
		w.write("q", nil)
	}
}

func (w *permissionsWorld) setReplicas(term, paused timeline.Term) {
	for _, id := range []target.ID{"q", "r"} {
		w.statuses[id] = statement.Status{Role: target.RoleReplica, Term: term, Paused: paused, Received: at(1, 7)}
	}
}

func (w *permissionsWorld) act(event string) {
	switch event {
	case "attempt":
		w.advanceAttempt()
	case "query":
		w.query(rapid.SampledFrom([]target.ID{"p", "r"}).Draw(w.t, "target"))
	case "records":
		w.hearRecords()
	}
}

// Failure guarded against: the record of an attempt ends before a VM hears of the new primary. A permission
// that it had given up holds again, by evidence from before the attempt, and it reads at the old primary.
func TestNoOrderOfRecordsRestoresAPermission(t *testing.T) {
	promotions, permitted := 0, 0
	old := leadership.State{Primary: "p", Term: 1}
	rapid.Check(t, func(t *rapid.T) {
		w := newPermissionsWorld(t)
		for range 60 {
			w.now = w.now.Add(permissionsStep)
			w.act(rapid.SampledFrom([]string{"attempt", "attempt", "query", "records"}).Draw(t, "event"))
			is := w.group.Permitted(old, w.now)
			if w.promoted {
				require.False(t, is, "a read at the old primary is permitted")
			} else if is {
				permitted++
			}
		}
		if w.promoted {
			promotions++
		}
	})
	require.NotZero(t, promotions)
	require.NotZero(t, permitted)
}

package controller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	drainstore "endivemoor.example/endivemoor/drain/store"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// onGroups adopts changed group objects from the store.
func (m *Manager) onGroups(_ context.Context, changed []store.Object, _ int64) {
	for _, obj := range changed {
		if obj.Version == 0 {
			m.Log.Warn("group_object_deleted", zap.String("key", obj.Key))
			continue
		}
		group, err := decodeGroup(obj)
		if err != nil {
			m.Log.Error("group_object_unreadable", zap.String("key", obj.Key), zap.Error(err))
			continue
		}
		m.adopt(group, obj.Version)
	}
}

// adopt puts a group into the view if it is newer, and posts it to its controller.
func (m *Manager) adopt(group *view.Group, version store.Version) {
	if !m.serves(group.Name) {
		return
	}
	if m.Views.Adopt(group) {
		m.Forget(m.Views.Load())
	}
	if c := m.controllerFor(group); c != nil {
		c.Post(failover.GroupLearned{Group: *group, Version: version})
	}
}

// onDrains applies changed drain marks. A target whose mark is ending or deleted takes work again.
func (m *Manager) onDrains(_ context.Context, changed []store.Object, revision int64) {
	for _, obj := range changed {
		draining := false
		if obj.Version != 0 {
			var mark drainstore.Mark
			if err := json.Unmarshal(obj.Value, &mark); err != nil {
				m.Log.Error("drain_mark_unreadable", zap.String("key", obj.Key), zap.Error(err))
				continue
			}
			draining = !mark.Ending
		}
		id := target.ID(strings.TrimPrefix(obj.Key, drainstore.Prefix))
		m.OnDrain(id, draining, revision)
	}
}

// OnDrain applies the drain state that the store or a peer reports, and relays a change to peers.
// A draining primary is first replaced by a planned change of primary.
func (m *Manager) OnDrain(id target.ID, draining bool, revision int64) {
	if !m.Drains.Offer(id, draining, revision) {
		return
	}
	m.Peers.Relay()
	if draining {
		m.requestHandover(id)
	}
}

// handoverRetryInterval is how often a planned change of primary is requested again while the
// primary is draining.
const handoverRetryInterval = 2 * time.Second

// RunDrains periodically requests planned changes of draining primaries until ctx ends.
//
// Failure guarded against: a planned change ends with the old primary still in place, because its
// replicas did not catch up in time. If it were requested only once, it would never be tried
// again, and the drain that the operator waits for would not finish.
func (m *Manager) RunDrains(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, handoverRetryInterval)
		for id := range m.Views.Load().Draining {
			m.requestHandover(id)
		}
	}
}

// requestHandover requests a planned change of primary from the controllers of the groups whose
// primary the server is.
func (m *Manager) requestHandover(id target.ID) {
	for name, group := range m.Views.Load().Groups {
		if group.Primary == id {
			m.post(name, failover.HandoverRequested{Server: id})
		}
	}
}

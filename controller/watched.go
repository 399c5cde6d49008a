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

// onGroups takes changed group objects from the store.
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
		m.learn(group, obj.Version)
	}
}

// learn adopts a group and tells its controller.
func (m *Manager) learn(group *view.Group, version store.Version) {
	if !m.serves(group.Name) {
		return
	}
	if m.Views.Adopt(group) {
		m.Forget(m.Views.Load())
	}
	if c := m.control(group); c != nil {
		c.Post(failover.GroupLearned{Group: *group, Version: version})
	}
}

// onDrains takes changed drain marks. A mark that is ending, or gone, lets the
// target take work again.
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

// OnDrain takes a drain from the store or a peer, and passes news on. A primary
// that leaves is relieved first.
func (m *Manager) OnDrain(id target.ID, draining bool, revision int64) {
	if !m.Drains.Offer(id, draining, revision) {
		return
	}
	m.Peers.Relay()
	if draining {
		m.relieve(id)
	}
}

// relieveEvery is how often a change of primary is asked for again while the
// primary's drain mark stands.
const relieveEvery = 2 * time.Second

// RunDrains asks again for the relief of primaries that leave, until ctx ends.
//
// Failure guarded against: a planned change ends with the old primary again,
// because its replicas were too far behind in time. Asked for once, it would
// never be tried again, and the operator would wait for a drain that does not
// come.
func (m *Manager) RunDrains(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, relieveEvery)
		for id := range m.Views.Load().Draining {
			m.relieve(id)
		}
	}
}

// relieve asks the controllers of groups that the server leads for a planned
// change of primary.
func (m *Manager) relieve(id target.ID) {
	for name, group := range m.Views.Load().Groups {
		if group.Primary == id {
			m.post(name, failover.HandoverRequested{Server: id})
		}
	}
}

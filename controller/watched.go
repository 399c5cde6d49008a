package controller

import (
	"context"
	"maps"
	"strings"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/platform"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// DrainPrefix is where operators mark targets that leave.
const DrainPrefix = "drains/"

// onGroups takes changed group objects from the store.
func (m *Manager) onGroups(_ context.Context, changed []platform.Object) {
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
func (m *Manager) learn(group *view.Group, version platform.Version) {
	if !m.serves(group.Name) {
		return
	}
	m.Views.Adopt(group)
	if c := m.control(group); c != nil {
		c.Post(failover.GroupLearned{Group: *group, Version: version})
	}
}

// onDrains takes changed drain marks. A primary that leaves is relieved first.
func (m *Manager) onDrains(_ context.Context, changed []platform.Object) {
	marks := map[target.ID]bool{}
	for _, obj := range changed {
		id := target.ID(strings.TrimPrefix(obj.Key, DrainPrefix))
		marks[id] = obj.Version != 0
	}
	m.Views.Update(func(v *view.View) {
		next := maps.Clone(v.Draining)
		if next == nil {
			next = map[target.ID]bool{}
		}
		for id, draining := range marks {
			next[id] = draining
		}
		maps.DeleteFunc(next, func(_ target.ID, draining bool) bool { return !draining })
		v.Draining = next
	})
	for id, draining := range marks {
		m.Log.Info("target_drain", zap.String("server", string(id)), zap.Bool("draining", draining))
		m.relieve(id, draining)
	}
}

// relieve asks the group's controller for a planned change of primary.
func (m *Manager) relieve(id target.ID, draining bool) {
	if !draining {
		return
	}
	for name, group := range m.Views.Load().Groups {
		if group.Primary == id {
			m.post(name, failover.Relieve{Server: id})
		}
	}
}

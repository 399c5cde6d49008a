package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	drainstore "endivemoor.example/endivemoor/drain/store"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/view"
)

// Manager starts a Group controller for each group that this VM serves, and
// hands events to them.
type Manager struct {
	Deps
	// Failover is the configuration of every group's machine.
	Failover failover.Config
	// Serve lists the groups; empty means all.
	Serve []string
	// Drains is where drain marks go.
	Drains *Drains
	// Duty says which groups this VM controls.
	Duty *Duty
	// Forget drops what is kept of servers that a view no longer has.
	Forget func(*view.View)
	// Dropped counts events that a full backlog dropped.
	Dropped func()

	ctx    context.Context
	mu     sync.Mutex
	groups map[string]running
}

// running is a controller and what ends it.
type running struct {
	*Group
	stop context.CancelFunc
}

// Start makes the manager ready; its controllers run until ctx ends.
func (m *Manager) Start(ctx context.Context) {
	m.ctx = ctx
	m.groups = map[string]running{}
}

func (m *Manager) serves(name string) bool {
	return len(m.Serve) == 0 || slices.Contains(m.Serve, name)
}

// Reassign starts and stops controllers after a change of duties. A controller
// that is stopped in mid-promotion leaves a term half used: the group's other
// probers go on with a later one.
func (m *Manager) Reassign() {
	for _, group := range m.Views.Load().Groups {
		m.control(group)
	}
}

// control returns the group's controller, started or stopped as duty asks; nil
// if the group is not this VM's duty.
func (m *Manager) control(group *view.Group) *Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, runs := m.groups[group.Name]
	wanted := m.Duty.Probes(group.Name)
	switch {
	case runs && wanted:
		return r.Group
	case runs:
		r.stop()
		delete(m.groups, group.Name)
		m.Log.Info("group_left", zap.String("group", group.Name))
		return nil
	case !wanted:
		return nil
	}
	return m.start(group)
}

func (m *Manager) start(group *view.Group) *Group {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, stop := context.WithCancel(m.ctx)
	c := NewGroup(m.Deps, group, m.Failover, rng, m.Dropped)
	m.groups[group.Name] = running{c, stop}
	go c.Run(ctx)
	c.Post(failover.GroupLearned{Group: *group, Version: store.Version(group.Version)})
	m.Log.Info("group_served", zap.String("group", group.Name), zap.Uint64("term", uint64(group.Term)))
	return c
}

func (m *Manager) post(name string, ev failover.Event) {
	m.mu.Lock()
	r, ok := m.groups[name]
	m.mu.Unlock()
	if ok {
		r.Post(ev)
	}
}

// OnPeerGroup takes a group's state from a peer.
func (m *Manager) OnPeerGroup(group *view.Group) { m.learn(group, 0) }

// Watchers returns the watchers of groups and drains.
func (m *Manager) Watchers(active func() bool) []*Watcher {
	return []*Watcher{
		m.watcher(store.PurposeGroup, groupPrefix, m.onGroups, active),
		m.watcher(store.PurposeDrain, drainstore.Prefix, m.onDrains, active),
	}
}

func (m *Manager) watcher(p store.Purpose, prefix string, handle handler, active func() bool) *Watcher {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Watcher{Store: m.Store, Purpose: p, Prefix: prefix, Handle: handle, Active: active, Rand: rng, Log: m.Log}
}

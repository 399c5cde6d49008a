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

// Manager runs a Group controller for each group that is assigned to this VM, and forwards events
// to them.
type Manager struct {
	Deps
	// Failover is the configuration of every group's machine.
	Failover failover.Config
	// Serve lists the groups that this deployment serves; empty means all.
	Serve []string
	// Drains records the drain marks.
	Drains *Drains
	// Assignment determines which groups this VM controls.
	Assignment *Assignment
	// Forget drops the state of servers that are not in the view.
	Forget func(*view.View)
	// Dropped is called for each event that did not fit into a full backlog.
	Dropped func()

	ctx    context.Context
	mu     sync.Mutex
	groups map[string]runningGroup
}

// runningGroup is a controller together with the function that stops it.
type runningGroup struct {
	*Group
	stop context.CancelFunc
}

// Start initializes the manager. Its controllers run until ctx ends.
func (m *Manager) Start(ctx context.Context) {
	m.ctx = ctx
	m.groups = map[string]runningGroup{}
}

func (m *Manager) serves(name string) bool {
	return len(m.Serve) == 0 || slices.Contains(m.Serve, name)
}

// Reassign starts and stops controllers after a change of the assignment. A controller that is
// stopped during a promotion attempt leaves the attempt unfinished in its term; the group's other
// probers continue with a later term.
func (m *Manager) Reassign() {
	for _, group := range m.Views.Load().Groups {
		m.controllerFor(group)
	}
}

// controllerFor returns the group's controller, and starts or stops it as assigned. It returns nil
// if the group is not assigned to this VM.
func (m *Manager) controllerFor(group *view.Group) *Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, exists := m.groups[group.Name]
	assigned := m.Assignment.Probes(group.Name)
	switch {
	case exists && assigned:
		return r.Group
	case exists:
		r.stop()
		delete(m.groups, group.Name)
		m.Log.Info("group_left", zap.String("group", group.Name))
		return nil
	case !assigned:
		return nil
	}
	return m.start(group)
}

func (m *Manager) start(group *view.Group) *Group {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, stop := context.WithCancel(m.ctx)
	c := NewGroup(m.Deps, group, m.Failover, rng, m.Dropped)
	m.groups[group.Name] = runningGroup{c, stop}
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

// OnPeerGroup adopts the state of a group that a peer sent.
func (m *Manager) OnPeerGroup(group *view.Group) { m.adopt(group, 0) }

// Watchers returns the watchers of groups and of drain marks.
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

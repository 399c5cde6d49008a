package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/platform"
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
	// Dropped counts events that a full backlog dropped.
	Dropped func()

	ctx    context.Context
	mu     sync.Mutex
	groups map[string]*Group
}

// Start makes the manager ready; its controllers run until ctx ends.
func (m *Manager) Start(ctx context.Context) {
	m.ctx = ctx
	m.groups = map[string]*Group{}
}

func (m *Manager) serves(name string) bool {
	return len(m.Serve) == 0 || slices.Contains(m.Serve, name)
}

func (m *Manager) controllerOf(group *view.Group) *Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.groups[group.Name]
	if c == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		c = NewGroup(m.Deps, group, m.Failover, rng, m.Dropped)
		m.groups[group.Name] = c
		go c.Run(m.ctx)
		m.Log.Info("group_served", zap.String("group", group.Name), zap.Uint64("term", uint64(group.Term)))
	}
	return c
}

func (m *Manager) post(name string, ev failover.Event) {
	m.mu.Lock()
	c := m.groups[name]
	m.mu.Unlock()
	if c != nil {
		c.Post(ev)
	}
}

// OnPeerGroup takes a group's state from a peer.
func (m *Manager) OnPeerGroup(group *view.Group) { m.learn(group, 0) }

// Watchers returns the watchers of groups and drains.
func (m *Manager) Watchers(active func() bool) []*Watcher {
	return []*Watcher{
		m.watcher(platform.PurposeGroup, groupPrefix, m.onGroups, active),
		m.watcher(platform.PurposeDrain, DrainPrefix, m.onDrains, active),
	}
}

func (m *Manager) watcher(p platform.Purpose, prefix string, handle func(context.Context, []platform.Object), active func() bool) *Watcher {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Watcher{Store: m.Store, Purpose: p, Prefix: prefix, Handle: handle, Active: active, Rand: rng, Log: m.Log}
}

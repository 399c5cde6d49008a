package catalog

import (
	"maps"
	"time"
)

// Change leads from one version of the configuration to a later one. It is
// immutable.
//
// It gains that a change costs a fleet what has changed and not the whole list.
type Change struct {
	From, To int64
	// Routes by database and Services by name are those that are new or other.
	Routes   map[string]*Route
	Services map[string]*Service
	// Workspaces by name and Keys by digest are those that are new or other.
	Workspaces map[string]*Workspace
	Keys       map[string]*Key
	// RemovedRoutes, RemovedServices, RemovedWorkspaces and RemovedKeys are gone.
	RemovedRoutes, RemovedServices, RemovedWorkspaces, RemovedKeys []string
	// TransactionIdle and Keyed are those of the later version.
	TransactionIdle time.Duration
	Keyed           bool
}

// Between returns the change that leads from one configuration to another.
func Between(from, to *Config) *Change {
	c := &Change{From: from.Version, To: to.Version, TransactionIdle: to.TransactionIdle, Keyed: to.Keyed}
	c.Routes, c.RemovedRoutes = differences(from.Routes, to.Routes)
	c.Services, c.RemovedServices = differences(from.Services, to.Services)
	c.Workspaces, c.RemovedWorkspaces = differences(from.Workspaces, to.Workspaces)
	c.Keys, c.RemovedKeys = differences(from.Keys, to.Keys)
	return c
}

func differences[V comparable](from, to map[string]*V) (other map[string]*V, gone []string) {
	other = make(map[string]*V)
	for name, v := range to {
		if old := from[name]; old == nil || *old != *v {
			other[name] = v
		}
	}
	for name := range from {
		if to[name] == nil {
			gone = append(gone, name)
		}
	}
	return other, gone
}

// Apply returns the configuration that the change leads to. The base must be the
// version that it leads from; else the result is nil.
//
// Failure guarded against: a change on top of another version than its own. It
// shows as a route that one VM has and the others have not, for good, as each
// takes its version for the same. Versions name contents, so equal versions are
// equal bases.
func (c *Change) Apply(base *Config) *Config {
	if base == nil || base.Version != c.From {
		return nil
	}
	return &Config{
		Version:         c.To,
		Routes:          changed(base.Routes, c.Routes, c.RemovedRoutes),
		Services:        changed(base.Services, c.Services, c.RemovedServices),
		TransactionIdle: c.TransactionIdle,
		Keyed:           c.Keyed,
		Workspaces:      changed(base.Workspaces, c.Workspaces, c.RemovedWorkspaces),
		Keys:            changed(base.Keys, c.Keys, c.RemovedKeys),
	}
}

func changed[V any](base, other map[string]*V, gone []string) map[string]*V {
	if base == nil && len(other) == 0 {
		return nil
	}
	out := make(map[string]*V, len(base)+len(other))
	maps.Copy(out, base)
	maps.Copy(out, other)
	for _, name := range gone {
		delete(out, name)
	}
	return out
}

// entries is how many routes, services, workspaces and keys the change tells of.
func (c *Change) entries() int {
	return len(c.Routes) + len(c.Services) + len(c.Workspaces) + len(c.Keys) +
		len(c.RemovedRoutes) + len(c.RemovedServices) + len(c.RemovedWorkspaces) + len(c.RemovedKeys)
}

func (c *Change) from() int64 { return c.From }

// ConfigSince returns the change that leads from a version to the present one;
// nil if the way from there is not remembered, or tells of no less than the whole
// configuration does.
func (c *Catalog) ConfigSince(version int64) *Change {
	chain := since(c.changes, version)
	if len(chain) == 0 {
		return nil
	}
	return c.merged(chain)
}

// merged joins changes that follow each other. What a later one says of a name
// counts, so all of them are named first and then looked up in the present
// configuration.
func (c *Catalog) merged(chain []*Change) *Change {
	out := &Change{From: chain[0].From, To: c.Config.Version, TransactionIdle: c.Config.TransactionIdle, Keyed: c.Config.Keyed}
	routes, services := make(map[string]bool), make(map[string]bool)
	workspaces, keys := make(map[string]bool), make(map[string]bool)
	for _, step := range chain {
		note(routes, step.Routes, step.RemovedRoutes)
		note(services, step.Services, step.RemovedServices)
		note(workspaces, step.Workspaces, step.RemovedWorkspaces)
		note(keys, step.Keys, step.RemovedKeys)
	}
	out.Routes, out.RemovedRoutes = present(routes, c.Config.Routes)
	out.Services, out.RemovedServices = present(services, c.Config.Services)
	out.Workspaces, out.RemovedWorkspaces = present(workspaces, c.Config.Workspaces)
	out.Keys, out.RemovedKeys = present(keys, c.Config.Keys)
	if out.entries() >= c.Config.entries() {
		return nil
	}
	return out
}

func note[V any](names map[string]bool, other map[string]*V, gone []string) {
	for name := range other {
		names[name] = true
	}
	for _, name := range gone {
		names[name] = true
	}
}

func present[V any](names map[string]bool, now map[string]*V) (other map[string]*V, gone []string) {
	other = make(map[string]*V)
	for name := range names {
		if v := now[name]; v != nil {
			other[name] = v
			continue
		}
		gone = append(gone, name)
	}
	return other, gone
}

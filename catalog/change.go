package catalog

import (
	"maps"
	"time"
)

// Change is the difference between one version of the configuration and a later one. It is
// immutable.
//
// With it, a change of the configuration costs the fleet the size of the change and not of the full
// configuration.
type Change struct {
	From, To int64
	// Routes by database and Services by name are the added and updated ones.
	Routes   map[string]*Route
	Services map[string]*Service
	// Workspaces by name and Keys by digest are the added and updated ones.
	Workspaces map[string]*Workspace
	Keys       map[string]*Key
	// RemovedRoutes, RemovedServices, RemovedWorkspaces and RemovedKeys are the removed ones.
	RemovedRoutes, RemovedServices, RemovedWorkspaces, RemovedKeys []string
	// TransactionIdle and Keyed are those of the later version.
	TransactionIdle time.Duration
	Keyed           bool
}

// Diff returns the change that leads from one configuration to another.
func Diff(from, to *Config) *Change {
	c := &Change{From: from.Version, To: to.Version, TransactionIdle: to.TransactionIdle, Keyed: to.Keyed}
	c.Routes, c.RemovedRoutes = differences(from.Routes, to.Routes)
	c.Services, c.RemovedServices = differences(from.Services, to.Services)
	c.Workspaces, c.RemovedWorkspaces = differences(from.Workspaces, to.Workspaces)
	c.Keys, c.RemovedKeys = differences(from.Keys, to.Keys)
	return c
}

func differences[V comparable](from, to map[string]*V) (updated map[string]*V, removed []string) {
	updated = make(map[string]*V)
	for name, v := range to {
		if old := from[name]; old == nil || *old != *v {
			updated[name] = v
		}
	}
	for name := range from {
		if to[name] == nil {
			removed = append(removed, name)
		}
	}
	return updated, removed
}

// Apply returns the configuration that the change leads to. The base must have the version that the
// change starts from; otherwise the result is nil.
//
// Failure guarded against: a change is applied to a version other than the one that it starts from.
// One VM then permanently has a route that the others do not have, although all of them have the
// same version. A version identifies its contents, so equal versions are equal bases.
func (c *Change) Apply(base *Config) *Config {
	if base == nil || base.Version != c.From {
		return nil
	}
	return &Config{
		Version:         c.To,
		Routes:          applyChange(base.Routes, c.Routes, c.RemovedRoutes),
		Services:        applyChange(base.Services, c.Services, c.RemovedServices),
		TransactionIdle: c.TransactionIdle,
		Keyed:           c.Keyed,
		Workspaces:      applyChange(base.Workspaces, c.Workspaces, c.RemovedWorkspaces),
		Keys:            applyChange(base.Keys, c.Keys, c.RemovedKeys),
	}
}

func applyChange[V any](base, updated map[string]*V, removed []string) map[string]*V {
	if base == nil && len(updated) == 0 {
		return nil
	}
	out := make(map[string]*V, len(base)+len(updated))
	maps.Copy(out, base)
	maps.Copy(out, updated)
	for _, name := range removed {
		delete(out, name)
	}
	return out
}

// entries is the number of routes, services, workspaces and keys in the change.
func (c *Change) entries() int {
	return len(c.Routes) + len(c.Services) + len(c.Workspaces) + len(c.Keys) +
		len(c.RemovedRoutes) + len(c.RemovedServices) + len(c.RemovedWorkspaces) + len(c.RemovedKeys)
}

func (c *Change) from() int64 { return c.From }

// ConfigSince returns the change that leads from a version to the current one; nil if the changes
// since that version are not retained, or if the change has no fewer entries than the full
// configuration.
func (c *Catalog) ConfigSince(version int64) *Change {
	chain := since(c.changes, version)
	if len(chain) == 0 {
		return nil
	}
	return c.merged(chain)
}

// merged merges consecutive changes. The latest change of a name takes precedence, so it collects the
// changed names first and then looks them up in the current configuration.
func (c *Catalog) merged(chain []*Change) *Change {
	out := &Change{From: chain[0].From, To: c.Config.Version, TransactionIdle: c.Config.TransactionIdle, Keyed: c.Config.Keyed}
	routes, services := make(map[string]bool), make(map[string]bool)
	workspaces, keys := make(map[string]bool), make(map[string]bool)
	for _, step := range chain {
		addNames(routes, step.Routes, step.RemovedRoutes)
		addNames(services, step.Services, step.RemovedServices)
		addNames(workspaces, step.Workspaces, step.RemovedWorkspaces)
		addNames(keys, step.Keys, step.RemovedKeys)
	}
	out.Routes, out.RemovedRoutes = lookUp(routes, c.Config.Routes)
	out.Services, out.RemovedServices = lookUp(services, c.Config.Services)
	out.Workspaces, out.RemovedWorkspaces = lookUp(workspaces, c.Config.Workspaces)
	out.Keys, out.RemovedKeys = lookUp(keys, c.Config.Keys)
	if out.entries() >= c.Config.entries() {
		return nil
	}
	return out
}

func addNames[V any](names map[string]bool, updated map[string]*V, removed []string) {
	for name := range updated {
		names[name] = true
	}
	for _, name := range removed {
		names[name] = true
	}
}

func lookUp[V any](names map[string]bool, current map[string]*V) (updated map[string]*V, removed []string) {
	updated = make(map[string]*V)
	for name := range names {
		if v := current[name]; v != nil {
			updated[name] = v
			continue
		}
		removed = append(removed, name)
	}
	return updated, removed
}

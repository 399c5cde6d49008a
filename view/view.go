// Package view is the immutable picture of the fleet that requests read: one
// atomic load gives a consistent set of groups, profiles and drains. The
// controllers build a new View for each change and swap it in (read-copy-
// update), so the request path takes no lock. Fast-moving evidence, such as a
// replica's position, is not here but in routing's board.
package view

import (
	"maps"
	"sync/atomic"

	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Server is one database server of a group.
type Server struct {
	ID   target.ID `json:"id"`
	Addr string    `json:"addr"`
	Zone string    `json:"zone"`
}

// Group is one database group, as last agreed. It is the value of the platform
// object "groups/<name>".
type Group struct {
	Name string `json:"name"`
	// Term is the newest term that has a primary.
	Term timeline.Term `json:"term"`
	// Primary is the server promoted at Term.
	Primary target.ID `json:"primary"`
	// Reserved is the highest term given out to a promoter, at least Term.
	Reserved timeline.Term `json:"reserved"`
	// ReservedBy is the VM that may promote at Reserved.
	ReservedBy string `json:"reserved_by,omitempty"`
	// History holds the start of every term.
	History timeline.History `json:"history"`
	Servers []Server         `json:"servers"`
	// Version is the version of the platform object that this was read from;
	// 0 if a peer or an own promotion brought it.
	Version int64 `json:"-"`
}

// Server returns the server with the id, or nil.
func (g *Group) Server(id target.ID) *Server {
	for i := range g.Servers {
		if g.Servers[i].ID == id {
			return &g.Servers[i]
		}
	}
	return nil
}

// View is one immutable picture.
type View struct {
	Groups   map[string]*Group
	Profiles *profile.Set
	// Draining marks targets that take no new work.
	Draining map[target.ID]bool
	// FleetSize is the number of VMs believed to be live, at least 1.
	FleetSize int
}

// Holder publishes Views.
type Holder struct {
	p atomic.Pointer[View]
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	h := &Holder{}
	h.p.Store(&View{FleetSize: 1})
	return h
}

// Load returns the current view; it must not be changed.
func (h *Holder) Load() *View { return h.p.Load() }

// Update swaps in the view that f makes of the current one. f may run more
// than once and must only change its copy; maps are to be cloned first.
func (h *Holder) Update(f func(v *View)) {
	for {
		old := h.p.Load()
		next := *old
		f(&next)
		if h.p.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Newer reports whether g replaces old: a later term always does; within a term
// a later version of the store's object, and then a higher reservation. State
// therefore only moves forward, whatever order the store, the peers and this
// VM's own promotions report it in.
func (g *Group) Newer(old *Group) bool {
	switch {
	case old == nil:
		return true
	case g.Term != old.Term:
		return g.Term > old.Term
	case g.Version != old.Version && g.Version != 0:
		return g.Version > old.Version
	default:
		return g.Reserved > old.Reserved
	}
}

// Adopt swaps in group if it is newer than what the view has, and reports if it
// was.
func (h *Holder) Adopt(group *Group) bool {
	adopted := false
	h.Update(func(v *View) {
		adopted = group.Newer(v.Groups[group.Name])
		if !adopted {
			return
		}
		groups := make(map[string]*Group, len(v.Groups)+1)
		maps.Copy(groups, v.Groups)
		groups[group.Name] = group
		v.Groups = groups
	})
	return adopted
}

// Package view provides the immutable state of the fleet that requests read: one atomic load
// returns a consistent set of groups, profiles and drains. The controllers build a new View for
// each change and publish it through a Holder (read-copy-update), so the request path takes no
// lock. Evidence that changes with every status reply, such as a replica's position, is not part
// of a View; it is in routing.Tracker.
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

// Group is the last agreed state of one database group. It is the value of the platform object
// "groups/<name>".
type Group struct {
	Name string `json:"name"`
	// Term is the newest term that has a primary.
	Term timeline.Term `json:"term"`
	// Primary is the server that was promoted at Term.
	Primary target.ID `json:"primary"`
	// Reserved is the highest term reserved for a promotion, at least Term.
	Reserved timeline.Term `json:"reserved"`
	// ReservedBy is the VM that may make the promotion at Reserved.
	ReservedBy string `json:"reserved_by,omitempty"`
	// History holds the start of every term.
	History timeline.History `json:"history"`
	Servers []Server         `json:"servers"`
	// Version is the version of the platform object that this was read from, or 0 if it came from
	// a peer or from a promotion by this VM.
	Version int64 `json:"-"`
}

// Server returns the server with the ID, or nil.
func (g *Group) Server(id target.ID) *Server {
	for i := range g.Servers {
		if g.Servers[i].ID == id {
			return &g.Servers[i]
		}
	}
	return nil
}

// View is one immutable state of the fleet.
type View struct {
	Groups   map[string]*Group
	Profiles *profile.Set
	// Draining holds the targets that accept no new work.
	Draining map[target.ID]bool
	// FleetSize is the number of VMs that are considered live, at least 1.
	FleetSize int
}

// Holder publishes the current View.
type Holder struct {
	p atomic.Pointer[View]
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	h := &Holder{}
	h.p.Store(&View{FleetSize: 1})
	return h
}

// Load returns the current view, which must not be modified.
func (h *Holder) Load() *View { return h.p.Load() }

// Update replaces the current view by a copy that f has changed. f may run more than once and must
// change only the copy that it receives; it must clone maps before it changes them.
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

// Newer reports whether g replaces old: a later term always does; within a term, a later version
// of the store's object does, and then a higher reservation. The state therefore never goes back,
// in whatever order the store, the peers and this VM's own promotions report it.
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

// Adopt puts group into the view if it is newer than the group in the view, and reports whether it
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

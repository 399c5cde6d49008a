// Package callers decides whose a request is.
//
// A caller proves its workspace by an API key, which the operator gives and takes away
// with versions of the configuration. What holds is the version that is in force as the
// request begins: a session that was opened under an earlier one has no rights of its
// own.
//
// The package is pure.
package callers

import "endivemoor.example/endivemoor/catalog"

// Caller is whose a request is.
type Caller struct {
	// Workspace is the holder of the caller's key; nil if callers have no keys, or if a
	// public route serves one whose key nobody holds.
	Workspace *catalog.Workspace
}

// Name is the workspace's; empty if there is none.
func (c Caller) Name() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// Identify returns whose a request on a route is; false if it must not run, as nobody
// holds its key.
func Identify(c *catalog.Config, route *catalog.Route, key catalog.KeyDigest) (Caller, bool) {
	if !c.Keyed {
		return Caller{}, true
	}
	holder := c.Holder(key)
	return Caller{Workspace: holder}, holder != nil || route.Public
}

// Keeps reports whether a transaction that a caller began may go on: its key has not
// been taken away since, nor given to another workspace.
func Keeps(c *catalog.Config, route *catalog.Route, key catalog.KeyDigest, began Caller) bool {
	now, ok := Identify(c, route, key)
	return ok && now.Name() == began.Name()
}

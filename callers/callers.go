// Package callers identifies the workspace that a request belongs to.
//
// A caller authenticates as a workspace by an API key, which the operator grants and revokes in
// versions of the configuration. The version in force when the request begins applies: a session
// that was opened under an earlier version keeps no rights from it.
//
// Start with Identify. The package does not enforce the limits of workspaces, and has no state.
package callers

import "endivemoor.example/endivemoor/catalog"

// Caller is the origin of a request.
type Caller struct {
	// Workspace is the holder of the caller's key. It is nil if the configuration has no keys, or
	// if the route is public and no workspace holds the key.
	Workspace *catalog.Workspace
}

// Name returns the workspace's name; empty if there is none.
func (c Caller) Name() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// Identify returns the caller of a request on a route; false if the request must be refused because
// no workspace holds its key.
func Identify(c *catalog.Config, route *catalog.Route, key catalog.KeyDigest) (Caller, bool) {
	if !c.Keyed {
		return Caller{}, true
	}
	holder := c.Holder(key)
	return Caller{Workspace: holder}, holder != nil || route.Public
}

// StillAuthorized reports whether a transaction that a caller began may continue: its key has
// neither been revoked since nor been moved to another workspace.
func StillAuthorized(c *catalog.Config, route *catalog.Route, key catalog.KeyDigest, began Caller) bool {
	now, ok := Identify(c, route, key)
	return ok && now.Name() == began.Name()
}

// Package controller drives the decision core: each controller is the one
// writer of one piece of state, takes events from sockets, the store and
// peers, steps its pure machine, and carries the returned actions out.
//
//	Group      one database group's failover.Machine (view.Group)
//	Watcher    what the store says of groups, profiles and drains
//	Exchange   what peers say, and which VMs are live (membership.Machine)
//	Fleet      which configuration each VM has in force, by its own word
//	Gate       when a write may be acknowledged (ack), read by requests
//	Journal    the audit trail, queued while the store is down
//
// Requests never call a controller; they read the view that controllers swap
// in. The one exception is Gate, which a write waits for.
package controller

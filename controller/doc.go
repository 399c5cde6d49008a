// Package controller drives the state machines that make the control decisions. Each controller is
// the only writer of one piece of state: it receives events from sockets, the store and peers, steps
// a machine that does no I/O, and executes the actions that the machine returns. The decisions
// themselves are made in the packages of the machines, such as failover and membership.
//
//	Group      the failover.Machine of one database group (view.Group)
//	Watcher    changes of groups, profiles and drain marks in the store
//	Exchange   messages from peers, and the live VMs (membership.Machine)
//	Fleet      the configuration that each VM reports to have in force
//	Gate       when a write may be acknowledged (package ack)
//	Journal    the audit trail, queued while the store is down
//
// Manager starts and stops the Group controllers of a VM; begin reading there. Requests do not call
// controllers but read the view that controllers publish. The exception is Gate, for which a write
// waits before it is acknowledged.
package controller

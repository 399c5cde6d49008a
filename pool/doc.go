// Package pool shares the limited connections to the targets among callers, one transaction at a
// time. Begin with Pool.Acquire and Lease.
//
// The pool keeps a separate list of connections for each server, bounded by this proxy's share of
// the server's limit (Share). A connection has at most one owner, which holds it through a Lease.
// Every use checks the owner's token, so that statements of two transactions never travel on one
// connection. Waiters are served in order of arrival.
//
// A connection is leased to the next owner only when it is proven clean: the target reported "idle"
// at the end of the transaction, no cancel request was sent on the connection, and the target
// confirmed DISCARD ALL, which drops settings, prepared statements, temporary tables, cursors and
// advisory locks. The command tag of a statement is not sufficient proof (a SELECT may call
// set_config), so the connection is always reset. The reset is sent when the connection is
// released, or together with the last statements. Its reply is read when the connection is leased
// again: in most cases it has arrived by then, and no goroutine has to wait for it. A connection
// that its owner abandons is closed, so that a late answer cannot reach the next owner.
//
// Opening a connection costs the target about 10 ms, so only a few are opened concurrently. After a
// failure the pool backs off from the server for an increasing, jittered time, and a caller that
// would have to wait for the server receives an error immediately. A new primary therefore receives
// only a few new connections from each proxy at a time, and no connection storm.
//
// quota is the pure part of the package: it decides from counts and times that are passed in. The
// pool does not choose servers; its callers do.
package pool

// Package pool shares the scarce connections to the targets among callers, one
// transaction at a time.
//
// Each server has its own list of connections, bounded by this proxy's share
// of the server's limit (Share). A connection has exactly one owner, who holds
// it by a Lease; every use checks the owner's token, so that statements of two
// transactions never travel on one connection. Waiters are served in order of
// arrival.
//
// A connection is given to the next owner only when it is proven clean: the
// target reported "idle" at the end of the transaction, nobody asked to cancel
// on it, and the target confirmed DISCARD ALL, which drops settings, prepared
// statements, temporary tables, cursors and advisory locks. The command tag of
// a statement is no such proof (a SELECT may call set_config), so the reset is
// always made. It is sent when the connection is given back, or along with the
// last statements, and its answer is read at the hand-over: by then it has
// mostly arrived, and no goroutine has to wait for it. A connection that its
// owner abandons is closed: a late answer dies with it and cannot reach the
// next owner.
//
// Opening costs the target about 10 ms each, so only a few are opened at once.
// After a failure the server is left alone for a growing, jittered time, and
// whoever would have to wait for it is told at once. A new primary therefore
// sees a few connections of each proxy at a time and no storm.
//
// quota is the pure part: counts and times in, decisions out.
package pool

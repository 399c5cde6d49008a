// Package lane pools the connections of this VM to targets. Connections are the scarcest
// resource: a target accepts a few dozen from all VMs together, and each VM gets its share.
//
// Start with Pool, which holds one Lane per target that this VM uses. A caller acquires a
// connection with Pool.Acquire and passes the time by which the answer is due. It gets an idle
// connection at once if there is one; otherwise the request waits in a queue that is ordered by
// AcquireOptions. A lane opens connections up to its allowance, and beyond it for a short time
// while requests wait and the target does not refuse.
//
// A connection is owned by one transaction or one statement at a time. It records the session
// values and prepared statements that were set on it, so that Conn.Setup can reset it or reuse
// them for the next owner.
//
// The package does not choose targets (see placing) and does not encode messages (see Link).
package lane

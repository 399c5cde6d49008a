// Package session holds the state that a session needs to read its own writes: for each group, the
// position of the newest write that was reported to it. Begin with Watermarks, Keys and FloorOf.
//
// The fleet stores nothing for a session. The caller carries its Watermarks as a signed token (a
// JWT, HS256, with the signing key's id in the header), receives a new one after each write, and
// returns it when it connects again, to whichever proxy the load balancer chooses. The token is
// bound to the user by its subject, so that a stolen or mixed-up token of another user is refused,
// and its size is limited, so that a startup message stays small.
//
// Keys rotate in three steps, and the whole fleet must have completed each step before the next one
// begins: a new key is added (all proxies verify with it, none signs with it), it becomes the
// active one, and after the lifetime of a token the old one is removed. A token signed by a key
// that was just replaced as the active one therefore still verifies.
//
// FloorOf converts Watermarks into the position that a read must have reached, and handles the
// three special cases: no token, a token from before a promotion, and a token with positions that a
// promotion discarded.
//
// The package is pure: time is passed in and nothing is logged. It does not route reads or query
// servers.
package session

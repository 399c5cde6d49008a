// Package session keeps what a session needs to read its own writes: for each
// group, the position of the newest write that it was told of.
//
// The fleet stores nothing for a session. The caller carries its Marks as a
// signed token (a JWT, HS256, with the signing key's id in the header), gets a
// new one after each write and gives it back when it connects again, to
// whichever proxy the balancer chooses. The token is bound to the user by its
// subject, so that a stolen or mixed-up token of another user is refused, and
// it is bounded in size, so that a startup message stays small.
//
// Keys rotate in three steps, each of which the whole fleet must have reached
// before the next: a new key is added (all proxies verify it, none signs with
// it), it becomes the active one, and after the life of a token the old one is
// removed. A token signed by a key that was just rotated out therefore still
// verifies.
//
// FloorOf turns Marks into the position that a read must have reached, and
// treats the three awkward cases: no token, a token from before a promotion,
// and a token with positions that a promotion discarded.
//
// The package is pure: time is passed in and nothing is logged.
package session

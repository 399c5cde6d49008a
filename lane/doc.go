// Package lane holds the connections to targets. They are the scarcest thing
// there is: a target takes a few dozen from all callers together, and each VM
// gets its part of them.
//
// A Lane leads to one target. Whoever needs a connection asks for it with the
// time by which the answer should be there; a free one is handed over at once,
// otherwise the request waits in the order of Order. A lane opens connections
// up to its allowance, and beyond it for a short time while requests wait and
// the target does not refuse.
//
// A connection is owned by one transaction or one statement at a time. It
// carries the session values and prepared names that it was given, so that the
// next owner is given a clean one or one that fits.
package lane

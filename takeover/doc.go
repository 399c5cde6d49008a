// Package takeover decides when a service gets a new primary, which VM makes the change, and which
// target is promoted. Package promoter carries the decisions out. Diagnose, Choose and IsSettled
// are the decisions; the package makes no calls and keeps no state.
//
// # Why no acknowledged write is lost
//
// A commit is acknowledged once the primary and at least one other target hold it. A change of
// primary first pauses every other target, for a term above all known ones, so that none of them
// receives the old primary's log any more. From then on the old primary can acknowledge nothing,
// whether it is reachable or not, and whatever it has acknowledged is held by one of the paused
// targets. The target that holds the most is promoted. A target that does not answer may be the
// only holder of a commit, so nothing is promoted until it answers or is removed from the service.
//
// If the old primary answers the command to step down, its reply contains the end of its log. A
// target that holds that position holds everything, and no other target is needed.
//
// # Why no two VMs act at once
//
// A change is an attempt recorded in the store by a conditional update. The revision of that update
// is the fencing token of the attempt's calls, so that a later holder always has a higher one. An
// attempt that is not ended expires once other VMs have seen its record unchanged for ExpireAfter
// on their own clock. Its holder orders no promotion after PromotionLimit, which is shorter by the
// time that a call may take to arrive.
//
// # Why package failover is not used here
//
// Package failover numbers terms itself and commands a target to lead in a given term. Its proofs
// need targets that keep a promise over a restart and take the term from the command. On this
// platform the platform numbers the terms, a restarted target has lost its pause, and each status
// query takes one of three slots and is charged, whereas package failover queries every target ten
// times a second.
package takeover

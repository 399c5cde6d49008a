// Package takeover decides when a service gets a new primary, who makes the
// change, and which target it is. Package promoter carries the decisions out.
//
// # Why no acknowledged write is lost
//
// A commit is acknowledged once the primary and at least one other target hold
// it. A change of primary first stops every other target from receiving (a
// pause for a term above all known). From then on the old primary can
// acknowledge nothing, reachable or not, and whatever it has acknowledged is
// held by one of the paused targets. The one that holds the most is promoted.
// If one of them cannot be asked, it may be the only holder, and nobody is
// promoted until it can, or has left the service.
//
// If the old primary can be asked to step down, it says where its log ends; a
// target that holds that position holds everything, and no other is needed.
//
// # Why no two VMs act at once
//
// A change is an attempt recorded in the store by a conditional update. The
// revision of that update is the fencing token of the attempt's calls, so that
// a later holder always has a higher one. An attempt that nobody ends lapses
// when others have seen it unchanged for Lapse on their own clock; its holder
// sends no order after Limit, which is shorter by the time that a call may
// take to arrive.
//
// # Why a service's own failover machine is not used here
//
// Package failover numbers terms itself and orders a target to lead in one: its
// proofs need targets that keep a promise over a restart and take the term from
// the order. On this platform the platform numbers the terms, a restarted
// target forgets its pause, and each question takes one of three slots and is
// charged, where that machine asks every target ten times a second.
//
// The package is pure.
package takeover

package takeover

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// TargetStatus is the status report of a target.
type TargetStatus struct {
	ID target.ID
	// Unresponsive is set if the target did not answer; the other fields are then unknown.
	Unresponsive bool
	Role         target.Role
	Term         timeline.Term
	// Paused is the term for which it was paused; 0 if it receives the primary's log.
	Paused timeline.Term
}

// IsSettled reports whether a service has one primary that certainly has not been replaced, so that
// the remains of an expired attempt may be cleaned up: its record, and targets that are still
// paused. The replaced target is the one that the attempt was to replace.
//
// Failure guarded against: a replica is resumed while a promotion is under way. It confirms the old
// primary's commits, which the chosen target lacks, and they are lost. IsSettled excludes this: the
// leader itself has answered, and no other target reports a later term. The replaced target need not
// answer, since no attempt was to promote it.
func IsSettled(leader TargetStatus, others []TargetStatus, replaced target.ID) bool {
	if leader.Unresponsive || leader.Role != target.RolePrimary {
		return false
	}
	for _, o := range others {
		switch {
		case o.Unresponsive && o.ID != replaced:
			return false
		case o.Unresponsive:
		case o.Role == target.RolePrimary || o.Term > leader.Term:
			return false
		}
	}
	return true
}

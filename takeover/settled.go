package takeover

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Account is what a target says of itself.
type Account struct {
	ID target.ID
	// Silent is set if it did not answer; the rest is then not known.
	Silent bool
	Role   target.Role
	Term   timeline.Term
	// Paused is the term for which it was paused; 0 if it receives.
	Paused timeline.Term
}

// Settled reports whether a service has one primary that nobody can have
// replaced, so that what a lapsed attempt has left behind may be undone: its
// record, and targets that are still paused. The deposed target is the one that
// the attempt was to replace.
//
// Failure guarded against: a replica that is let go while a promotion is open. It
// confirms the old primary's commits, which the chosen target lacks, and they are
// lost. It holds because the leader speaks for itself, and no other target knows a
// later term; the deposed one need not answer, since nobody was to promote it.
func Settled(leader Account, others []Account, deposed target.ID) bool {
	if leader.Silent || leader.Role != target.RolePrimary {
		return false
	}
	for _, o := range others {
		switch {
		case o.Silent && o.ID != deposed:
			return false
		case o.Silent:
		case o.Role == target.RolePrimary || o.Term > leader.Term:
			return false
		}
	}
	return true
}

package membership

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// member is the state of one VM in a Machine.
type member struct {
	vm          VM
	incarnation uint64
	// lastContact is the latest instant of a contact of any VM with this one; valid if contacted.
	lastContact clock.Time
	contacted   bool
	// suspected is set while exchanges with the VM are unanswered, since suspectedSince.
	suspected      bool
	suspectedSince clock.Time
	// failed counts the consecutive unanswered exchanges of this VM with the member.
	failed int
	// pending is how often the record is still to be passed on as an update.
	pending int
	// leaving is as the VM itself reported, listLeaving as the platform's list shows.
	leaving, listLeaving bool
	// listed is set if the VM is on the current list, wasListed if it ever was on one.
	listed, wasListed bool
	// live is set if the VM is considered live. dead is set if the evidence does not support that, and
	// stays set until the VM has settled again: it has been free of suspicion since settlingSince.
	live, dead    bool
	settlingSince clock.Time
	// firstSeen is when the member was added.
	firstSeen clock.Time
}

// recordContact records a contact with the VM, and reports whether it refutes a suspicion.
func (x *member) recordContact(at clock.Time) bool {
	if x.contacted && !at.After(x.lastContact) {
		return false
	}
	x.lastContact, x.contacted = at, true
	if !x.suspected || !at.After(x.suspectedSince) {
		return false
	}
	x.suspected = false
	return true
}

// recordSuspicion records a suspicion that began at an instant, and reports whether it is new. A VM
// with a later contact is not suspected.
func (x *member) recordSuspicion(at clock.Time) bool {
	if x.contacted && x.lastContact.After(at) {
		return false
	}
	if x.suspected {
		x.suspectedSince = min(x.suspectedSince, at)
		return false
	}
	x.suspected, x.suspectedSince = true, at
	return true
}

// record returns the VM's record; false if there is nothing to pass on, that is, no recent contact,
// no suspicion, and no report that the VM leaves.
func (x *member) record(now clock.Time, suspectAfter time.Duration) (Record, bool) {
	r := Record{VM: x.vm, Incarnation: x.incarnation, Leaving: x.leaving}
	switch {
	case x.suspected:
		r.ContactAge = suspectAfter + now.Sub(x.suspectedSince)
	case x.contacted && now.Sub(x.lastContact) < suspectAfter:
		r.ContactAge = now.Sub(x.lastContact)
	case x.leaving:
		r.ContactAge = suspectAfter - 1
	default:
		return Record{}, false
	}
	return r, true
}

// evaluate reports whether the VM is considered live, by the table of the package comment.
func (x *member) evaluate(now clock.Time, cfg *Config, isolated bool) bool {
	if x.leaving || x.listLeaving {
		return false
	}
	if isolated && x.suspected {
		return x.live
	}
	if x.supported(now, cfg) {
		return x.settled(now, cfg.SettleFor)
	}
	x.dead, x.settlingSince = true, 0
	return false
}

func (x *member) supported(now clock.Time, cfg *Config) bool {
	contactAge := now.Sub(x.lastContact)
	switch {
	case x.listed:
		return !x.suspected || now.Sub(x.suspectedSince) < cfg.DeadAfter
	case x.wasListed:
		return !x.suspected && x.contacted && contactAge < cfg.SuspectAfter
	default:
		return !x.suspected && x.contacted && contactAge < cfg.UnlistedFor
	}
}

func (x *member) settled(now clock.Time, settleFor time.Duration) bool {
	if !x.dead {
		return true
	}
	if x.suspected {
		x.settlingSince = 0
		return false
	}
	if x.settlingSince == 0 {
		x.settlingSince = now
	}
	if now.Sub(x.settlingSince) < settleFor {
		return false
	}
	x.dead, x.settlingSince = false, 0
	return true
}

// lastEvidence is the instant of the latest evidence of the VM.
func (x *member) lastEvidence() clock.Time {
	if x.contacted {
		return max(x.firstSeen, x.lastContact)
	}
	return x.firstSeen
}

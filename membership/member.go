package membership

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// member is what a Machine knows of one VM.
type member struct {
	vm          VM
	incarnation uint64
	// heard is the latest instant at which anybody heard the VM; valid if known.
	heard clock.Time
	known bool
	// suspect is set while exchanges go unanswered, since the instant since.
	suspect bool
	since   clock.Time
	// failed counts this VM's own unanswered exchanges in a row.
	failed int
	// news is how often the record is still to be passed on.
	news int
	// leaving is the VM's own word, listLeaving the platform's.
	leaving, listLeaving bool
	// listed is the present list's word; wasListed says that it ever was.
	listed, wasListed bool
	// live is the present belief; gone is set until the VM has settled again,
	// for which it has been free of suspicion since back.
	live, gone bool
	back       clock.Time
	// seen is when the member was first known.
	seen clock.Time
}

// hear takes an instant at which the VM was heard, and reports whether it
// refutes a suspicion.
func (x *member) hear(at clock.Time) bool {
	if x.known && !at.After(x.heard) {
		return false
	}
	x.heard, x.known = at, true
	if !x.suspect || !at.After(x.since) {
		return false
	}
	x.suspect = false
	return true
}

// suspectSince takes a suspicion that began at an instant, and reports whether
// it is new. A VM that was heard since is not suspected.
func (x *member) suspectSince(at clock.Time) bool {
	if x.known && x.heard.After(at) {
		return false
	}
	if x.suspect {
		x.since = min(x.since, at)
		return false
	}
	x.suspect, x.since = true, at
	return true
}

// record returns what to tell of the VM, if there is anything: fresh evidence,
// a suspicion, or that it leaves.
func (x *member) record(now clock.Time, suspectAfter time.Duration) (Record, bool) {
	r := Record{VM: x.vm, Incarnation: x.incarnation, Leaving: x.leaving}
	switch {
	case x.suspect:
		r.HeardAge = suspectAfter + now.Sub(x.since)
	case x.known && now.Sub(x.heard) < suspectAfter:
		r.HeardAge = now.Sub(x.heard)
	case x.leaving:
		r.HeardAge = suspectAfter - 1
	default:
		return Record{}, false
	}
	return r, true
}

// believe applies the table of the package comment.
func (x *member) believe(now clock.Time, cfg *Config, isolated bool) bool {
	if x.leaving || x.listLeaving {
		return false
	}
	if isolated && x.suspect {
		return x.live
	}
	if x.supported(now, cfg) {
		return x.settled(now, cfg.SettleFor)
	}
	x.gone, x.back = true, 0
	return false
}

func (x *member) supported(now clock.Time, cfg *Config) bool {
	heardFor := now.Sub(x.heard)
	switch {
	case x.listed:
		return !x.suspect || now.Sub(x.since) < cfg.DeadAfter
	case x.wasListed:
		return !x.suspect && x.known && heardFor < cfg.SuspectAfter
	default:
		return !x.suspect && x.known && heardFor < cfg.UnlistedFor
	}
}

func (x *member) settled(now clock.Time, settleFor time.Duration) bool {
	if !x.gone {
		return true
	}
	if x.suspect {
		x.back = 0
		return false
	}
	if x.back == 0 {
		x.back = now
	}
	if now.Sub(x.back) < settleFor {
		return false
	}
	x.gone, x.back = false, 0
	return true
}

// lastSign is the latest instant at which anything was known of the VM.
func (x *member) lastSign() clock.Time {
	if x.known {
		return max(x.seen, x.heard)
	}
	return x.seen
}

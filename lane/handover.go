package lane

import "endivemoor.example/endivemoor/gateways"

// setShare sets this VM's share of the target's connections. A lane with an empty share opens
// connections beyond it while requests wait. A lane that loses its share keeps the bounds of the
// former one until it has closed its last connection, but may not have more connections than are
// open; idle connections are closed soon.
//
// Failures guarded against: a VM is no longer a gateway to the target, open transactions hold all
// connections that its empty share allows, and the requests of VMs with earlier lists wait behind
// them until they time out. Or it grows to its former share, and exceeds the target's limit together
// with its successors.
func (l *Lane) setShare(s gateways.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Temporary && (l.handingOver || l.allowance > 0) && l.inService() {
		l.handingOver, l.temporary, l.minOpen = true, true, s.MaxIdle
		if s.MaxFormer > 0 {
			l.allowance = min(l.allowance, s.MaxFormer)
		}
		l.shrinkToOpen()
		return
	}
	l.applyShare(s)
}

func (l *Lane) applyShare(s gateways.Share) {
	l.handingOver = false
	l.allowance, l.minOpen, l.temporary, l.maxRunning = s.MaxOpen, s.MaxIdle, s.Temporary, s.MaxRunning
	l.setPerWorkspace(s.PerWorkspace)
	l.waiting.detectsLate = s.MaxRunning > 0
}

// inService reports whether the lane has connections or requests.
func (l *Lane) inService() bool { return l.open+l.dialing+l.waiting.Len() > 0 }

// shrinkToOpen bounds a handover by what is open, with one connection for requests that wait.
func (l *Lane) shrinkToOpen() { l.allowance = max(min(l.allowance, l.open+l.dialing), 1) }

// continueHandover gives up what is no longer used of the former share, and the share once nothing
// uses it.
func (l *Lane) continueHandover() {
	switch {
	case !l.handingOver:
	case l.inService():
		l.shrinkToOpen()
	default:
		l.applyShare(gateways.Share{Temporary: true})
	}
}

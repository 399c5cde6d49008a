package lane

import "endivemoor.example/endivemoor/gateways"

// setShare sets this VM's share of the target's connections. A lane with an empty share opens
// connections beyond it while requests wait. A lane that loses its share keeps the bounds of the
// former one until it has closed its last connection; idle connections are closed soon.
//
// Failure guarded against: a VM is no longer a gateway to the target, open transactions hold all
// connections that its empty share allows, and the requests of VMs with earlier lists wait behind
// them until they time out.
func (l *Lane) setShare(s gateways.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Temporary && (l.handingOver || l.allowance > 0) && l.inService() {
		l.handingOver, l.temporary, l.minOpen = true, true, s.MaxIdle
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

// endHandover gives the former share up once nothing uses it.
func (l *Lane) endHandover() {
	if l.handingOver && !l.inService() {
		l.applyShare(gateways.Share{Temporary: true})
	}
}

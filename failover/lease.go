package failover

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
)

// leaseState is the last known state of the group's lease. The lease prevents concurrent promotion
// attempts; the safety of writes does not depend on it.
type leaseState struct {
	until       clock.Time // end of this VM's own lease; 0 if not held
	holder      string
	version     store.Version
	since       clock.Time // when this version was first seen
	asked       clock.Time // when the newest accepted answer was asked for
	known       bool
	nextAt      clock.Time
	renewalSent clock.Time // when the renewal with unknown outcome was sent; 0 if none
}

func (l *leaseState) held(now clock.Time) bool { return now.Before(l.until) }

// expired reports whether there is no lease, or another VM's lease has been unchanged for its whole
// duration on this VM's own clock. The VMs' clocks need not agree.
func (l *leaseState) expired(now clock.Time, d time.Duration) bool {
	return l.holder == "" || now.Sub(l.since) >= d
}

// tickLease renews the lease, takes over an expired one, or reads another VM's. A renewal whose
// outcome is unknown is resolved by reading the lease.
func (m *Machine) tickLease() {
	l := &m.lease
	if m.now.Before(l.nextAt) {
		return
	}
	l.nextAt = m.now.Add(m.jitter(m.cfg.LeaseRenew))
	own := l.holder == m.cfg.Incarnation
	if !l.known || !(own || l.expired(m.now, m.cfg.LeaseDuration)) {
		m.emit(ReadLease{Asked: m.now})
		return
	}
	l.known = false
	l.renewalSent = m.now
	m.emit(RenewLease{Holder: m.cfg.Incarnation, ExpectVersion: l.version, Asked: m.now})
}

func (m *Machine) onLeaseResult(ev LeaseResult) {
	if ev.Err != nil {
		m.store.recordError(ev.Err)
		m.lease.nextAt = m.now.Add(m.jitter(m.cfg.StoreRetry))
		return
	}
	m.store.recordAnswer()
	l := &m.lease
	// A restored store may have lost the lease. An answer from before the lease was created is older
	// than the one that showed the lease.
	lost := ev.Version == 0 && ev.Asked.After(l.asked)
	if ev.Version < l.version && !lost {
		return
	}
	l.asked = max(l.asked, ev.Asked)
	changed := ev.Version != l.version
	if changed {
		l.since = ev.Asked
	}
	l.known = true
	l.holder = ev.Holder
	l.version = ev.Version
	m.extendLease(changed)
}

// extendLease counts this VM's own lease from the time at which its renewal was sent, the earliest
// time at which the renewal can have taken effect. Reading an unchanged lease does not extend it.
func (m *Machine) extendLease(changed bool) {
	l := &m.lease
	if l.holder != m.cfg.Incarnation {
		l.until = 0
		l.renewalSent = 0
		return
	}
	if changed && l.renewalSent != 0 {
		l.until = max(l.until, l.renewalSent.Add(m.cfg.LeaseDuration))
	}
	l.renewalSent = 0
}

// jitter returns a random duration in [0.9 d, 1.1 d], so that VMs that started at the same time do
// not keep calling the store at the same time.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.rng.Float64()))
}

package failover

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
)

// leaseState is what is known of the group's lease. The lease keeps VMs from
// duelling; no write is safe or unsafe by it.
type leaseState struct {
	until   clock.Time // end of the own lease; 0 if not held
	holder  string
	version store.Version
	since   clock.Time // when this version was first seen
	known   bool
	nextAt  clock.Time
	renewed clock.Time // when the unresolved renewal was sent; 0 if none
}

func (l *leaseState) held(now clock.Time) bool { return now.Before(l.until) }

// lapsed reports whether another's lease has stood unchanged for its whole
// duration on this VM's own clock, so that clocks need not agree.
func (l *leaseState) lapsed(now clock.Time, d time.Duration) bool {
	return l.holder == "" || now.Sub(l.since) >= d
}

// tickLease renews, takes over or watches the lease. A renewal without a known
// outcome is resolved by reading the lease.
func (m *Machine) tickLease() {
	l := &m.lease
	if m.now.Before(l.nextAt) {
		return
	}
	l.nextAt = m.now.Add(m.jitter(m.cfg.LeaseRenew))
	mine := l.holder == m.cfg.Incarnation
	if !l.known || !(mine || l.lapsed(m.now, m.cfg.LeaseDuration)) {
		m.do(ReadLease{Asked: m.now})
		return
	}
	l.known = false
	l.renewed = m.now
	m.do(RenewLease{Holder: m.cfg.Incarnation, ExpectVersion: l.version, Asked: m.now})
}

func (m *Machine) onLeaseResult(ev LeaseResult) {
	if ev.Err != nil {
		m.store.noteError(ev.Err)
		m.lease.nextAt = m.now.Add(m.jitter(m.cfg.StoreRetry))
		return
	}
	m.store.noteAnswer()
	l := &m.lease
	if ev.Version < l.version {
		return
	}
	changed := ev.Version > l.version
	if changed {
		l.since = ev.Asked
	}
	l.known = true
	l.holder = ev.Holder
	l.version = ev.Version
	m.extendLease(changed)
}

// extendLease counts the own lease from when its renewal was sent, the earliest
// time at which it can have taken effect. A lease that is only read again is
// not extended.
func (m *Machine) extendLease(changed bool) {
	l := &m.lease
	if l.holder != m.cfg.Incarnation {
		l.until = 0
		l.renewed = 0
		return
	}
	if changed && l.renewed != 0 {
		l.until = max(l.until, l.renewed.Add(m.cfg.LeaseDuration))
	}
	l.renewed = 0
}

// jitter draws from [0.9 d, 1.1 d], so that VMs that started together do not
// call the store together for ever.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.rng.Float64()))
}

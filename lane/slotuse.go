package lane

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// slotUseWindow is the time constant with which the use of the slots is forgotten.
	slotUseWindow = time.Second
	// minFreshFraction bounds what open transactions are expected to take: they end.
	minFreshFraction = 0.2
)

// slotUse measures who gets a target's slots: requests that wait for a connection, or statements of
// open transactions, which hold one already and go first.
//
// Failure guarded against: half of the slots' time goes to statements of open transactions, requests
// are expected to get their connection in half of the time that they will need, and each of them
// waits until it is late and is refused then.
type slotUse struct {
	fresh, resumed float64 // seconds of work, decayed up to the time at
	at             clock.Time
}

func (u *slotUse) decay(now clock.Time) {
	keep := math.Exp(-float64(now.Sub(u.at)) / float64(slotUseWindow))
	u.fresh, u.resumed, u.at = u.fresh*keep, u.resumed*keep, now
}

// recordFresh records the expected work of a request that has got a connection.
func (u *slotUse) recordFresh(now clock.Time, work time.Duration) {
	u.decay(now)
	u.fresh += work.Seconds()
}

// recordResumed records the expected work of a transaction's further statement.
func (u *slotUse) recordResumed(now clock.Time, work time.Duration) {
	u.decay(now)
	u.resumed += work.Seconds()
}

// freshFraction returns the fraction of the slots' time that goes to requests that wait for a
// connection.
func (u *slotUse) freshFraction() float64 {
	if u.fresh+u.resumed == 0 {
		return 1
	}
	return max(u.fresh/(u.fresh+u.resumed), minFreshFraction)
}

package lane

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// A statement is overdue once it has run for overdueFactor times the recent average statement
	// time, and for minOverdue at least, which is longer than most statements take.
	overdueFactor = 4
	minOverdue    = 150 * time.Millisecond
)

// markOverdue marks statements that take far longer than usual, so that others may run beside
// them.
//
// Failure guarded against: an answer is lost, or a write waits for a replica that does not confirm
// it. Where a VM may run one statement at a time, all later statements for the target would wait
// until this one times out, although the target finished it long before or holds no slot for it.
func (l *Lane) markOverdue(now clock.Time) {
	after := max(minOverdue, overdueFactor*l.waiting.times.average.mean)
	for c := range l.busy {
		if !c.parked && now.Sub(c.runningSince) > after {
			l.setOverdue(c, true)
		}
	}
	if l.overdue > 0 {
		l.serve(now)
	}
}

func (l *Lane) setOverdue(c *Conn, overdue bool) {
	if c.overdue == overdue {
		return
	}
	c.overdue = overdue
	if overdue {
		l.overdue++
		return
	}
	l.overdue--
}

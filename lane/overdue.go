package lane

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// overdueTimes what statements take lately is how long one must run to be
	// overdue, and leastOverdue at least: longer than most work takes.
	overdueTimes = 4
	leastOverdue = 150 * time.Millisecond
)

// noteOverdue lets others run beside statements that take far longer than usual.
//
// Failure guarded against: an answer is lost, or a write waits for a replica that does
// not confirm it. Where one statement of a VM may run at once, all that follow it to
// the target wait until its time is over. The target has done with it long before, or
// has it in no slot.
func (l *Lane) noteOverdue(now clock.Time) {
	after := max(leastOverdue, overdueTimes*l.waiting.takes)
	for c := range l.busy {
		if !c.resting && now.Sub(c.runs) > after {
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

package lane

import (
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
)

// What the decision log counts of a lane's connections.
const (
	// openedCold is an opening for a workspace that has no connection, and openedMore one for a
	// workspace whose connections are in use.
	openedCold       = "opened-cold"
	openedMore       = "opened-more"
	openedForCommand = "opened-for-command"
	// closedUnused is a closing of an idle connection beyond the retained ones, closedForOther one
	// that makes room for another workspace, and closedBroken one of a connection that failed.
	closedUnused   = "closed-unused"
	closedForOther = "closed-for-other"
	closedBroken   = "closed-broken"
)

func (l *Lane) count(outcome string) {
	l.decisions.Count(decisions.Connections, string(l.id), outcome, 1)
}

func (l *Lane) openingFor(workspace string) string {
	if l.openFor[workspace] > 0 {
		return openedMore
	}
	return openedCold
}

// inUseFor returns the number of a workspace's connections in use.
func (l *Lane) inUseFor(workspace string) int {
	n := l.openFor[workspace]
	for _, c := range l.idle {
		if c.workspace == workspace {
			n--
		}
	}
	return n
}

// setPerWorkspace sets whether use is recorded.
func (l *Lane) setPerWorkspace(perWorkspace bool) {
	l.perWorkspace = perWorkspace
	if !perWorkspace {
		l.usage = usage{}
	}
}

// leastUsed returns the index of the idle connection whose loss costs least among those for which
// fits returns true: the one that is the last of a workspace with few recent uses of so many
// connections. Among equals it is the one idle for longest, and so it is always where usage is not
// recorded. It returns -1 if there is none.
func (l *Lane) leastUsed(now clock.Time, fits func(c *Conn) bool) int {
	best, least := -1, 0.0
	for i, c := range l.idle {
		if !fits(c) {
			continue
		}
		uses := l.usage.ofLast(now, c.workspace, l.openFor[c.workspace])
		if best < 0 || uses < least {
			best, least = i, uses
		}
	}
	return best
}

// openWhileRefused returns the number of connections that the lane may have while the target refuses
// further ones.
//
// Failure guarded against: a connection is closed for another workspace, the one that should replace
// it is not opened, and the lane has none left.
func (l *Lane) openWhileRefused() int {
	if l.perWorkspace {
		return max(l.open, l.refusedOpen)
	}
	return l.open
}

// surplus returns the index of an idle connection that should be closed, or -1.
func (l *Lane) surplus(now clock.Time) int {
	if len(l.idle) == 0 {
		return -1
	}
	if l.temporary {
		return l.idleLongerThan(now, 0, temporaryIdleTimeout)
	}
	if l.returnsRoom(now) {
		return l.idleLongerThan(now, l.leastUsed(now, anyConn), temporaryIdleTimeout)
	}
	if l.open > l.minOpen {
		return l.idleLongerThan(now, l.leastUsed(now, anyConn), burstIdleTimeout)
	}
	return -1
}

// returnsRoom reports whether the lane has more connections than it can use at once while the target
// refuses further ones.
//
// Failure guarded against: both gateways of a target restart, the connections of their predecessors
// are still open there, and the gateway that is first takes all others.
//
// A lane that is older retains its connections when one is refused: its predecessor's are closed by
// now, and those that it returned would have to be opened again.
func (l *Lane) returnsRoom(now clock.Time) bool {
	starting := now.Sub(l.created) < restartPeriod
	return l.perWorkspace && starting && now.Before(l.refusedUntil) && l.open-l.parked-l.overdue > l.maxRunning
}

// restartPeriod is how long after a gateway's start the connections of its predecessor may still be
// open at the target.
const restartPeriod = 5 * time.Second

func anyConn(*Conn) bool { return true }

// idleLongerThan returns the index if that connection has been idle for longer than the timeout.
func (l *Lane) idleLongerThan(now clock.Time, index int, timeout time.Duration) int {
	if now.Sub(l.idle[index].idle) > timeout {
		return index
	}
	return -1
}

func (l *Lane) closeIdle(index int, outcome string) {
	c := l.idle[index]
	l.idle = slices.Delete(l.idle, index, index+1)
	l.count(outcome)
	l.shut(c)
}

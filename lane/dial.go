package lane

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// unreachable reports whether a request should fail instead of waiting for a connection: the lane
// has none, the target could not be reached, and either the pause before the next dial has not
// ended or another request's dial is in progress.
//
// Failure guarded against: a target is behind a partition, where connecting hangs until its
// timeout. Every request that arrived in the meantime would wait for it, time after time, though
// a read could go elsewhere at once.
func (l *Lane) unreachable(now clock.Time) bool {
	return l.open == 0 && l.downCause != nil && (l.dialing > 0 || now.Before(l.downUntil))
}

// dialHangs reports whether the lane has no connection and the dial in progress takes longer than
// usual.
func (l *Lane) dialHangs(now clock.Time) bool {
	return l.open == 0 && l.dialing > 0 && now.Sub(l.dialSince) > usualDialTime
}

// grow opens connections for the waiting requests, most urgent first. If the lane is at its
// limit, an idle connection of another workspace is closed to make room.
func (l *Lane) grow(now clock.Time) {
	if !l.mayGrow(now) {
		return
	}
	waiting := l.waiting.countByWorkspace()
	l.growFor(now, func(w *waiter) bool { return l.dialsFor[w.opts.Workspace] < waiting[w.opts.Workspace] })
}

// growFor opens connections for the waiting requests for which lacks returns true.
func (l *Lane) growFor(now clock.Time, lacks func(w *waiter) bool) {
	if !l.mayGrow(now) {
		return
	}
	for l.dialing < maxDialing {
		w := l.waiting.first(lacks)
		if w == nil || !l.makeRoom(now, w.opts.Workspace) {
			return
		}
		if l.dialing == 0 {
			l.dialSince = now
		}
		l.dialing++
		l.dialsFor[w.opts.Workspace]++
		go l.openOne(w.opts.Workspace)
	}
}

// mayGrow reports whether a connection could be opened for a request that lacks one.
func (l *Lane) mayGrow(now clock.Time) bool {
	if l.closed || !l.mayRun() || l.waiting.Len() == 0 || l.dialing >= maxDialing {
		return false
	}
	return l.open+l.dialing < l.maxOpen(now) || len(l.idle) > 0
}

// makeRoom reports whether a connection may be opened for a workspace. If the lane is at its
// limit, it closes an idle connection of another workspace.
func (l *Lane) makeRoom(now clock.Time, workspace string) bool {
	if l.open+l.dialing < l.maxOpen(now) {
		return true
	}
	i := l.leastUsed(now, func(c *Conn) bool { return c.workspace != workspace })
	if i < 0 {
		return false
	}
	l.closeIdle(i, closedForOther)
	return true
}

// maxOpen returns the number of connections that the lane may have at this time.
func (l *Lane) maxOpen(now clock.Time) int {
	if now.Before(l.refusedUntil) {
		return l.openWhileRefused()
	}
	if l.maxRunning > 0 {
		return l.allowance + min(l.parked+l.overdue, burst)
	}
	return l.allowance + burst
}

func (l *Lane) openOne(workspace string) {
	link, err := l.dial(context.Background(), workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing--
	if l.dialsFor[workspace]--; l.dialsFor[workspace] == 0 {
		delete(l.dialsFor, workspace)
	}
	now := l.clk.Now()
	if err != nil {
		l.dialFailed(now, workspace, err)
		return
	}
	l.downUntil, l.downCause = 0, nil
	l.inUse++
	l.count(l.openingFor(workspace))
	l.putIdle(l.opened(link, workspace))
}

// dialFailed fails the waiting requests, so that they can go elsewhere, if no connection is left
// that may become free for them.
func (l *Lane) dialFailed(now clock.Time, workspace string, err error) {
	unavailable := l.unavailable(err)
	if unavailable.Code != statement.OK {
		l.refusedUntil = now.Add(l.refusalPause())
		l.refusedOpen = l.open
	} else {
		l.downUntil, l.downCause = now.Add(unreachablePause), err
	}
	if l.open == 0 && l.dialing == 0 {
		l.refuse(now, unavailable, anyone)
		return
	}
	if unavailable.Code == statement.OK && l.openFor[workspace] == 0 && l.dialsFor[workspace] == 0 {
		l.refuse(now, unavailable, func(w *waiter) bool { return w.opts.Workspace == workspace })
	}
}

// unavailable converts a dialer's error into the error that waiting requests get.
func (l *Lane) unavailable(err error) *UnavailableError {
	out := &UnavailableError{Target: l.id, Cause: err}
	var refusal Refusal
	if errors.As(err, &refusal) {
		out.Code = refusal.Refused()
	}
	return out
}

func (l *Lane) refusalPause() time.Duration {
	if l.open == 0 {
		return refusedPauseWithoutConns
	}
	return refusedPause
}

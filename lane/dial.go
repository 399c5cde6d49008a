package lane

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// unreachable reports whether a request should not wait for a connection: the
// target could not be reached, and its turn to be tried again has not come, or
// another request is trying it.
//
// Failure guarded against: a target behind a partition, where connecting hangs
// until its time-out. Every request that came meanwhile would wait for it, again
// and again, though a read can go elsewhere at once.
func (l *Lane) unreachable(now clock.Time) bool {
	return l.open == 0 && l.downCause != nil && (l.dialing > 0 || now.Before(l.down))
}

// hangs reports whether the first connection takes longer than usual.
func (l *Lane) hangs(now clock.Time) bool {
	return l.open == 0 && l.dialing > 0 && now.Sub(l.dialSince) > usualDial
}

// grow opens connections for the requests that wait, the most urgent first. Where the
// lane has as many as it may have, one that serves another workspace makes room.
func (l *Lane) grow(now clock.Time) {
	if !l.mayGrow(now) {
		return
	}
	waiting := l.waiting.counts()
	l.growFor(now, func(w *waiter) bool { return l.dialsFor[w.order.Workspace] < waiting[w.order.Workspace] })
}

// growFor opens connections for the requests that lack one.
func (l *Lane) growFor(now clock.Time, lacks func(w *waiter) bool) {
	if !l.mayGrow(now) {
		return
	}
	for l.dialing < maxDialing {
		w := l.waiting.first(lacks)
		if w == nil || !l.makeRoom(now, w.order.Workspace) {
			return
		}
		if l.dialing == 0 {
			l.dialSince = now
		}
		l.dialing++
		l.dialsFor[w.order.Workspace]++
		go l.openOne(w.order.Workspace)
	}
}

// mayGrow reports whether a connection could be opened if a request lacks one.
func (l *Lane) mayGrow(now clock.Time) bool {
	if l.closed || !l.mayRun() || l.waiting.Len() == 0 || l.dialing >= maxDialing {
		return false
	}
	return l.open+l.dialing < l.most(now) || len(l.idle) > 0
}

// makeRoom reports whether a connection may be opened for a workspace. It closes the
// one that has been idle for longest of those of others, if there are too many else.
func (l *Lane) makeRoom(now clock.Time, workspace string) bool {
	if l.open+l.dialing < l.most(now) {
		return true
	}
	for i, c := range l.idle {
		if c.workspace != workspace {
			l.idle = slices.Delete(l.idle, i, i+1)
			l.shut(c)
			return true
		}
	}
	return false
}

// most is how many connections the lane may have now.
func (l *Lane) most(now clock.Time) int {
	if now.Before(l.refused) {
		return l.open
	}
	if l.running > 0 {
		return l.allowance + min(l.resting+l.overdue, burst)
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
	l.down, l.downCause = 0, nil
	l.inUse++
	l.hand(l.opened(link, workspace))
}

// dialFailed lets the requests that wait go elsewhere, if no connection is
// left that may become free for them.
func (l *Lane) dialFailed(now clock.Time, workspace string, err error) {
	unavailable := l.unavailable(err)
	if unavailable.Code != statement.OK {
		l.refused = now.Add(l.refusalPause())
	} else {
		l.down, l.downCause = now.Add(unreachablePause), err
	}
	if l.open == 0 && l.dialing == 0 {
		l.refuse(now, unavailable, anyone)
		return
	}
	if unavailable.Code == statement.OK && l.openFor[workspace] == 0 && l.dialsFor[workspace] == 0 {
		l.refuse(now, unavailable, func(w *waiter) bool { return w.order.Workspace == workspace })
	}
}

// unavailable turns a dialer's error into that of those who wait.
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
		return refusedAlone
	}
	return refusedPause
}

package engine

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/groups"
)

// callerTries is the number of tries among which a caller divides its time. A VM that cannot serve a
// request answers it early enough for tries at other VMs.
const callerTries = 3

// breakerOpen is why requests are refused at once.
const breakerOpen = "the primary has served nobody for a while"

// refusesEarly reports whether requests for a service's primary are answered while their callers
// still have time for another VM. In a fleet without gateways each VM reaches the targets by itself,
// and requests wait for their whole statement timeout.
func (s *Session) refusesEarly(g *groups.Group) bool {
	return s.engine.usesGateways(g.Service) && !s.engine.cfg.Features.Without(feature.EarlyRefusals)
}

// admits reports whether a request that needs the primary may be tried. If not, it is refused at once,
// because the breaker is open. While the primary is known to be replaced, requests wait for the next
// one.
func (s *Session) admits(g *groups.Group, w *work, n groups.Need) bool {
	cause, ok := g.Breaker.Admits(s.engine.cfg.Clock.Now(), n)
	if ok || (s.refusesEarly(g) && g.Changing()) {
		return true
	}
	w.cause = cause
	return false
}

// outageTimeout returns how much longer a request may wait for the end of an outage. One that arrives in an
// outage waits as long as one usually lasts, and not so long that its caller has no time left for
// another VM. The first one waits for its whole time: it finds out whether there is an outage.
func (s *Session) outageTimeout(g *groups.Group, w *work, c groups.Cause) time.Duration {
	timeout := deadline(w.route, w.arrived).Sub(w.arrived)
	if !s.refusesEarly(g) {
		return timeout
	}
	if since := g.Breaker.Since(s.engine.cfg.Clock.Now(), c.Need()); since != 0 && since.Before(w.arrived) {
		timeout = min(timeout/callerTries, g.Breaker.Usual(c))
	}
	return max(timeout-w.outage, 0)
}

// outageReportInterval returns how long a request waits before it records that it waits in vain: others
// that arrive meanwhile should know.
func (s *Session) outageReportInterval(g *groups.Group, w *work, c groups.Cause) time.Duration {
	timeout := deadline(w.route, w.arrived).Sub(w.arrived)
	if !s.refusesEarly(g) {
		return timeout
	}
	return min(s.outageTimeout(g, w, c), timeout/callerTries)
}

// recordOutage records a try at the primary that failed without an answer. A busy or saturated
// primary is not an outage.
func (s *Session) recordOutage(g *groups.Group, w *work, result tryResult) {
	if result == unsent && !w.timedOutInQueue || result == lostAnswer {
		s.recordUnserved(g, w, groups.Unresponsive)
	}
}

// recordUnserved records that no primary served a request, and since when it has waited for one.
func (s *Session) recordUnserved(g *groups.Group, w *work, c groups.Cause) {
	now := s.engine.cfg.Clock.Now()
	w.cause = c
	since := now
	if s.refusesEarly(g) {
		since = max(w.arrived, now.Add(-w.outage))
	}
	g.Breaker.Failed(now, since, c)
}

// recordServed records that the primary served a request.
func (s *Session) recordServed(g *groups.Group, n groups.Need) {
	g.Breaker.Served(s.engine.cfg.Clock.Now(), n)
}

// causeOf returns why a proof that the primary leads has failed.
func causeOf(err error) groups.Cause {
	if errors.Is(err, groups.ErrSuperseded) {
		return groups.NoPrimary
	}
	return groups.Unproven
}

// outageTimedOut reports whether a request that has failed for a cause should get its final answer.
func (s *Session) outageTimedOut(g *groups.Group, w *work) bool {
	return w.cause != groups.NoCause && s.outageTimeout(g, w, w.cause) <= 0
}

// defaultRetryAfter is the retry-after of a refusal without a better estimate: about the time that a
// change of primary takes.
const defaultRetryAfter = 250 * time.Millisecond

// retryAfter returns the retry-after of a statement that has not run; 0 if nothing is expected to
// change in the time that its caller has left. Of a statement that has waited for its whole time it
// is not known whether its caller has more: if so, it has a statement's time again.
func (s *Session) retryAfter(w *work) time.Duration {
	now := s.engine.cfg.Clock.Now()
	end := deadline(w.route, w.arrived)
	left := end.Sub(now)
	if left <= 0 {
		left = end.Sub(w.arrived)
	}
	g := s.engine.cfg.Groups.Group(w.route.Service)
	switch {
	case w.cause != groups.NoCause:
		return g.Breaker.RetryAfter(now, w.cause, w.route.Priority, left, rand.Float64())
	case w.saturated > 0:
		return g.Busy.Next(now, w.route.Priority, min(w.retryAfter, left), left, rand.Float64())
	default:
		return g.Busy.Next(now, w.route.Priority, defaultRetryAfter, left, rand.Float64())
	}
}

// countRefusal counts a refusal by its cause, and by whether the request was tried before.
func (s *Session) countRefusal(w *work) {
	outcome := "busy"
	switch {
	case w.cause != groups.NoCause && w.tries == 0 && w.outage == 0:
		outcome = "at-once-" + w.cause.String()
	case w.cause != groups.NoCause:
		outcome = "tried-" + w.cause.String()
	}
	s.engine.cfg.Decisions.Count(decisions.Refusal, w.route.Service, outcome, 1)
}

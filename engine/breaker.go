package engine

import (
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/statement"
)

// errBreakerOpen reports that the primary has served no request for some time.
var errBreakerOpen = errors.New("the primary has served nobody for a while")

// admit refuses a request at once if the breaker of the primary is open; it returns nil if the
// request may be tried.
func (s *Session) admit(g *groups.Group, w *work) *statement.Answer {
	if g.Breaker.Admits(s.engine.cfg.Clock.Now()) {
		return nil
	}
	return s.giveUp(w, statement.Busy, errBreakerOpen.Error())
}

// recordOutage records a try at the primary that failed without an answer. A busy or saturated
// primary is not an outage.
func (s *Session) recordOutage(g *groups.Group, result tryResult) {
	if result == unsent || result == lostAnswer {
		s.recordUnserved(g)
	}
}

// recordUnserved records that no primary served a request.
func (s *Session) recordUnserved(g *groups.Group) { g.Breaker.Failed(s.engine.cfg.Clock.Now()) }

package engine

import (
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/statement"
)

// errOpen says that nothing that needs the primary was served for a while.
var errOpen = errors.New("the primary has served nobody for a while")

// admit refuses a request at once if it is not worth waiting for the primary; nil if
// it may try.
func (s *Session) admit(g *groups.Group, w *work) *statement.Answer {
	if g.Breaker.Admits(s.engine.cfg.Clock.Now()) {
		return nil
	}
	return s.giveUp(w, statement.Busy, errOpen.Error())
}

// outage notes what a try at the primary shows of it. A target that is busy or has
// no time for the request is none.
func (s *Session) outage(g *groups.Group, v verdict) {
	if v == unsent || v == lostAnswer {
		s.unserved(g)
	}
}

// unserved notes that a request found no primary that serves it.
func (s *Session) unserved(g *groups.Group) { g.Breaker.Failed(s.engine.cfg.Clock.Now()) }

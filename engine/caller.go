package engine

import (
	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/statement"
)

// lookUp returns the session's route and whose its requests are, by the configuration
// in force. A non-nil answer says why there is none.
func (s *Session) lookUp() (*catalog.Route, callers.Caller, *statement.Answer) {
	c := s.engine.cfg.Catalog.Load()
	route := c.Route(s.database)
	if route == nil {
		return nil, callers.Caller{}, statement.Failure(statement.NoDatabase, "no route has this database", statement.Idle)
	}
	caller, ok := callers.Identify(c.Config, route, s.key)
	if !ok {
		return nil, callers.Caller{}, unauthorized(statement.Idle)
	}
	return route, caller, nil
}

// keeps reports whether a transaction's caller may go on with it.
func (s *Session) keeps(tx *transaction) bool {
	return callers.Keeps(s.engine.cfg.Catalog.Load().Config, tx.route, s.key, tx.caller)
}

func unauthorized(state statement.State) *statement.Answer {
	return statement.Failure(statement.Unauthorized, "nobody holds this key", state)
}

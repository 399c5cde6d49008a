package lane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/returning"
)

// Outcomes of the decisions about callers who return.
const (
	outcomeInTime = "in-time"
	outcomeLate   = "late-at-arrival"
)

// DefaultStatementTimeout is the timeout of a statement whose route sets none.
const DefaultStatementTimeout = 2 * time.Second

// StatementTimeout returns how long a statement of a route may take.
func StatementTimeout(route *catalog.Route) time.Duration {
	if route.StatementTimeout <= 0 {
		return DefaultStatementTimeout
	}
	return route.StatementTimeout
}

// ClassOf returns the class of a route's statements that read or write.
func ClassOf(route *catalog.Route, writes bool) uint32 {
	name := route.Name + "/read"
	if writes {
		name = route.Name + "/write"
	}
	return uint32(xxhash.Sum64String(name)) | 1
}

// classTerms are what the callers of a class expect.
type classTerms struct{ objective, timeout time.Duration }

// newTerms returns the terms of a configuration's classes; c may be nil.
func newTerms(c *catalog.Config) map[uint32]classTerms {
	out := make(map[uint32]classTerms)
	if c == nil {
		return out
	}
	for _, route := range c.Routes {
		t := classTerms{route.Objective, StatementTimeout(route)}
		out[ClassOf(route, false)], out[ClassOf(route, true)] = t, t
	}
	return out
}

// setTerms sets the terms of the classes.
func (l *Lane) setTerms(t map[uint32]classTerms) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.classTerms = t
}

// termsOf returns the terms of a request whose caller can be recognized; false if it cannot.
func (l *Lane) termsOf(o AcquireOptions) (classTerms, bool) {
	t, ok := l.classTerms[o.Class]
	return t, ok && l.returning != nil && o.Caller != 0 && l.waiting.detectsLate
}

// recognize returns the options of a request that arrives now, and whether its caller returns. The
// request of one who does is due from the first try. It may wait for as long as any other, because
// its caller may have more time than one statement may take.
func (l *Lane) recognize(now clock.Time, o AcquireOptions) (_ AcquireOptions, returns bool) {
	t, ok := l.termsOf(o)
	if !ok {
		return o, false
	}
	arrived := o.Due.Add(-t.objective)
	first := l.returning.Take(now, o.Caller, arrived, t.timeout)
	if first == arrived {
		return o, false
	}
	o.Due = first.Add(t.objective)
	outcome := outcomeInTime
	if mean, deviation := l.waiting.times.of(now, o.Class); !now.Before(o.Due.Add(-mean - deviation)) {
		outcome = outcomeLate
	}
	l.decisions.Count(decisions.Returning, string(l.id), outcome, 1)
	return o, true
}

// rememberRefused records the caller of a request that is refused and may return.
func (l *Lane) rememberRefused(o AcquireOptions) {
	if t, ok := l.termsOf(o); ok {
		l.returning.Refuse(returning.Refused{Caller: o.Caller, First: o.Due.Add(-t.objective)})
	}
}

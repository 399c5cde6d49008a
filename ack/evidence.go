package ack

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Report is one server's Status with its times.
type Report struct {
	// Asked is when the question was sent; the evidence is as of then, and
	// Answered is when the answer came.
	Asked, Answered clock.Time
	Status          target.Status
}

// Permission lets a proxy acknowledge writes of one term for a time.
type Permission struct {
	Term timeline.Term
	// Asked is when the proxy asked for it, on the proxy's clock.
	Asked clock.Time
	// Duration counts from Asked.
	Duration time.Duration
}

// Evidence is what is known of one group. It is not safe for concurrent use.
type Evidence struct {
	group      *view.Group
	reports    map[target.ID]Report
	permission Permission
}

// NewEvidence returns evidence that knows the group only.
func NewEvidence(g *view.Group) *Evidence {
	return &Evidence{group: g, reports: make(map[target.ID]Report)}
}

// SetGroup replaces the group. One with an older term is ignored.
func (e *Evidence) SetGroup(g *view.Group) {
	if e.group == nil || g.Term >= e.group.Term {
		e.group = g
	}
}

// Observe adds a report. A late or repeated answer to an older question than
// the newest known is ignored.
func (e *Evidence) Observe(r Report) {
	old, ok := e.reports[r.Status.Server]
	if ok && r.Asked.Before(old.Asked) {
		return
	}
	e.reports[r.Status.Server] = r
}

// Grant adds a permission; one for an older term is ignored.
func (e *Evidence) Grant(p Permission) {
	if p.Term >= e.permission.Term {
		e.permission = p
	}
}

// Group returns the newest group that is known.
func (e *Evidence) Group() *view.Group { return e.group }

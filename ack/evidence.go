package ack

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Report is one server's status report with its times.
type Report struct {
	// Asked is when the status query was sent, and Answered is when the answer arrived. The
	// evidence is as of Asked.
	Asked, Answered clock.Time
	Status          target.Status
}

// Permission allows a proxy to acknowledge writes of one term for a limited time.
type Permission struct {
	Term timeline.Term
	// Asked is when the proxy requested the permission, on the proxy's clock.
	Asked clock.Time
	// Duration is how long the permission is valid, counted from Asked.
	Duration time.Duration
}

// Evidence is the newest known group, the servers' status reports and the permission. It is not
// safe for concurrent use.
type Evidence struct {
	group      *view.Group
	reports    map[target.ID]Report
	permission Permission
}

// NewEvidence returns Evidence for the group, without reports or a permission.
func NewEvidence(g *view.Group) *Evidence {
	return &Evidence{group: g, reports: make(map[target.ID]Report)}
}

// SetGroup replaces the group. A group with an older term is ignored.
func (e *Evidence) SetGroup(g *view.Group) {
	if e.group == nil || g.Term >= e.group.Term {
		e.group = g
	}
}

// Observe adds a status report. A report whose query was sent before that of the recorded report is
// ignored.
func (e *Evidence) Observe(r Report) {
	old, ok := e.reports[r.Status.Server]
	if ok && r.Asked.Before(old.Asked) {
		return
	}
	e.reports[r.Status.Server] = r
}

// Grant sets the permission. A permission for an older term is ignored.
func (e *Evidence) Grant(p Permission) {
	if p.Term >= e.permission.Term {
		e.permission = p
	}
}

// Group returns the newest known group.
func (e *Evidence) Group() *view.Group { return e.group }

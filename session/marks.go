package session

import (
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Watermarks are a session's watermarks: for each group, the newest position that the session has
// written or that it is guaranteed to read.
type Watermarks map[string]timeline.Position

// Raise raises the group's watermark to pos. A lower position changes nothing, so answers that
// arrive out of order cannot lower a session's floor.
func (m Watermarks) Raise(group string, pos timeline.Position) {
	if m[group].Less(pos) {
		m[group] = pos
	}
}

// Merge raises every watermark of m to that of other.
func (m Watermarks) Merge(other Watermarks) {
	for group, pos := range other {
		m.Raise(group, pos)
	}
}

// Source is the origin of a floor.
type Source uint8

const (
	// SourcePrimary means that the session has no watermark for the group: before the session's
	// first read, the primary must be queried for its position, and a replica must witness that the
	// primary was not superseded.
	SourcePrimary Source = iota
	// SourceToken means that the session's own watermark is the floor.
	SourceToken
	// SourceCut means that a promotion discarded the newest positions of the session: the floor is
	// the newest position that was retained.
	SourceCut
	// SourceAhead means that the watermark has a term that the view does not contain yet: only a
	// server of that term may serve the session.
	SourceAhead
)

// String returns the source's name in logs.
func (s Source) String() string {
	switch s {
	case SourceToken:
		return "token"
	case SourceCut:
		return "token-cut"
	case SourceAhead:
		return "token-ahead"
	default:
		return "primary"
	}
}

// Floor is the minimum position that a server must have reached to serve a session.
type Floor struct {
	Position timeline.Position
	Source   Source
}

// FloorOf returns the session's floor in group g.
//
// A watermark beyond the start of a later term refers to entries that no server retains. Waiting
// for them would never end, so the floor is reduced to the retained part, and SourceCut allows the
// proxy to report to the caller that its write was discarded.
func FloorOf(m Watermarks, g *view.Group) Floor {
	watermark, ok := m[g.Name]
	if !ok || watermark.IsZero() {
		return Floor{Source: SourcePrimary}
	}
	if watermark.Term > g.History.Last().Term {
		return Floor{Position: watermark, Source: SourceAhead}
	}
	retained := g.History.Retained(watermark)
	if retained != watermark {
		return Floor{Position: retained, Source: SourceCut}
	}
	return Floor{Position: watermark, Source: SourceToken}
}

package session

import (
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Marks is a session's watermark: for each group, the newest position that the
// session has written or was promised to see.
type Marks map[string]timeline.Position

// Raise moves the group's mark up to pos. A lower position changes nothing, so
// answers that arrive out of order cannot lower a session's floor.
func (m Marks) Raise(group string, pos timeline.Position) {
	if m[group].Less(pos) {
		m[group] = pos
	}
}

// Merge raises every mark of m to that of other.
func (m Marks) Merge(other Marks) {
	for group, pos := range other {
		m.Raise(group, pos)
	}
}

// Source says where a floor comes from.
type Source uint8

const (
	// SourcePrimary means that the session brought no mark for the group: the
	// primary must be asked for its position, and a replica must witness that
	// it was not superseded, before the session's first read.
	SourcePrimary Source = iota
	// SourceToken means that the session's own mark is the floor.
	SourceToken
	// SourceCut means that a promotion discarded the end of what the session
	// had seen: the floor is the part that was kept.
	SourceCut
	// SourceAhead means that the mark is of a term that the view does not know
	// yet: only a server of that term may serve the session.
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

// Floor is the least position that a server must hold to serve a session.
type Floor struct {
	Position timeline.Position
	Source   Source
}

// FloorOf returns the session's floor in group g.
//
// A mark beyond the start of a later term names entries that no server keeps.
// Waiting for them would never end, so the floor is cut back to the kept part,
// and SourceCut lets the proxy tell the caller that its write was discarded.
func FloorOf(m Marks, g *view.Group) Floor {
	mark, ok := m[g.Name]
	if !ok || mark.IsZero() {
		return Floor{Source: SourcePrimary}
	}
	if mark.Term > g.History.Last().Term {
		return Floor{Position: mark, Source: SourceAhead}
	}
	kept := g.History.Retained(mark)
	if kept != mark {
		return Floor{Position: kept, Source: SourceCut}
	}
	return Floor{Position: mark, Source: SourceToken}
}

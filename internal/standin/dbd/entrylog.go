package dbd

import (
	"endivemoor.example/endivemoor/timeline"
)

// Entry is one committed write transaction.
type Entry struct {
	Position timeline.Position
	// CommittedMicros is the primary's wall clock at commit, in microseconds
	// since 1970. A replica's delay is counted from it.
	CommittedMicros int64
	Statements      []Statement
}

// entryLog holds the entries in order of LSN, which starts at 1. It is guarded
// by the node's mutex.
type entryLog struct {
	entries []Entry
	history timeline.History
	grown   chan struct{}
}

func newEntryLog() *entryLog {
	return &entryLog{grown: make(chan struct{})}
}

// end is the position of the newest entry.
func (l *entryLog) end() timeline.Position {
	if len(l.entries) == 0 {
		return timeline.Position{}
	}
	return l.entries[len(l.entries)-1].Position
}

// append adds e and wakes whoever waits for growth.
func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.history = l.history.Append(timeline.Start{Term: e.Position.Term, LSN: e.Position.LSN - 1})
	close(l.grown)
	l.grown = make(chan struct{})
}

// after returns at most limit entries beyond lsn.
func (l *entryLog) after(lsn timeline.LSN, limit int) []Entry {
	if lsn >= timeline.LSN(len(l.entries)) {
		return nil
	}
	rest := l.entries[lsn:]
	return rest[:min(limit, len(rest))]
}

// holds reports whether the log has an entry at exactly p. Within one term
// there is one writer, so equal (term, LSN) means equal logs up to there.
func (l *entryLog) holds(p timeline.Position) bool {
	if p.IsZero() {
		return true
	}
	if p.LSN == 0 || p.LSN > timeline.LSN(len(l.entries)) {
		return false
	}
	return l.entries[p.LSN-1].Position == p
}

// truncate drops the entries beyond lsn and returns them.
func (l *entryLog) truncate(lsn timeline.LSN) []Entry {
	if lsn >= timeline.LSN(len(l.entries)) {
		return nil
	}
	dropped := l.entries[lsn:]
	kept := l.entries[:lsn:lsn]
	l.entries = kept
	l.history = nil
	for _, e := range kept {
		l.history = l.history.Append(timeline.Start{Term: e.Position.Term, LSN: e.Position.LSN - 1})
	}
	return dropped
}

// commonEnd returns the last LSN up to which a log with the history mine that
// ends at myEnd equals one with the history theirs that ends at theirEnd. Two
// logs agree within a term that started at the same place in both, because one
// primary wrote it; they part where the first term ends that either left early.
func commonEnd(mine timeline.History, myEnd timeline.LSN, theirs timeline.History, theirEnd timeline.LSN) timeline.LSN {
	common := timeline.LSN(0)
	for i := range min(len(mine), len(theirs)) {
		if mine[i] != theirs[i] {
			return common
		}
		common = min(termEnd(mine, i, myEnd), termEnd(theirs, i, theirEnd))
	}
	return common
}

func termEnd(h timeline.History, i int, end timeline.LSN) timeline.LSN {
	if i+1 < len(h) {
		return h[i+1].LSN
	}
	return end
}

package dbd

import (
	"endivemoor.example/endivemoor/timeline"
)

// Entry is one committed write transaction.
type Entry struct {
	Position timeline.Position
	// CommittedMicros is the primary's wall clock at commit, in microseconds since 1970. The
	// replication delay counts from it.
	CommittedMicros int64
	Statements      []Statement
}

// entryLog holds the entries in order of LSN, which starts at 1. The node's mutex guards it.
type entryLog struct {
	entries []Entry
	history timeline.History
	// appended is closed and replaced when an entry is appended.
	appended chan struct{}
}

func newEntryLog() *entryLog {
	return &entryLog{appended: make(chan struct{})}
}

// end is the position of the newest entry.
func (l *entryLog) end() timeline.Position {
	if len(l.entries) == 0 {
		return timeline.Position{}
	}
	return l.entries[len(l.entries)-1].Position
}

// append adds e and wakes the waiting fetches of replicas.
func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.history = l.history.Append(timeline.Start{Term: e.Position.Term, LSN: e.Position.LSN - 1})
	close(l.appended)
	l.appended = make(chan struct{})
}

// after returns at most limit entries beyond lsn.
func (l *entryLog) after(lsn timeline.LSN, limit int) []Entry {
	if lsn >= timeline.LSN(len(l.entries)) {
		return nil
	}
	newer := l.entries[lsn:]
	return newer[:min(limit, len(newer))]
}

// contains reports whether the log has an entry at exactly p. A term has one writer, so two logs
// with an entry at the same (term, LSN) are equal up to that entry.
func (l *entryLog) contains(p timeline.Position) bool {
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
	retained := l.entries[:lsn:lsn]
	l.entries = retained
	l.history = nil
	for _, e := range retained {
		l.history = l.history.Append(timeline.Start{Term: e.Position.Term, LSN: e.Position.LSN - 1})
	}
	return dropped
}

// commonEnd returns the last LSN up to which the local log equals a remote log, each given by its
// history and its last LSN. Two logs agree within a term that starts at the same LSN in both,
// because one primary wrote it. They diverge at the end of the first term that is shorter in one of
// them.
func commonEnd(local timeline.History, localEnd timeline.LSN, remote timeline.History, remoteEnd timeline.LSN) timeline.LSN {
	common := timeline.LSN(0)
	for i := range min(len(local), len(remote)) {
		if local[i] != remote[i] {
			return common
		}
		common = min(termEnd(local, i, localEnd), termEnd(remote, i, remoteEnd))
	}
	return common
}

// termEnd returns the last LSN of the i-th term of a log that ends at end.
func termEnd(h timeline.History, i int, end timeline.LSN) timeline.LSN {
	if i+1 < len(h) {
		return h[i+1].LSN
	}
	return end
}

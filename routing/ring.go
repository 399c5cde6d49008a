package routing

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/timeline"
)

// maxSamples bounds a group's samples: 256 of 32 bytes each.
const maxSamples = 256

// sample records that the primary had reached at least pos when it was queried.
type sample struct {
	asked clock.Time
	pos   timeline.Position
}

// samples is an immutable list in ascending order of asked and pos.
type samples []sample

// with returns s with one more sample. It ignores a sample that is out of order: the list stays
// sorted, and a missing sample only increases the computed ages.
func (s samples) with(n sample) samples {
	if len(s) == 0 {
		return samples{n}
	}
	last := s[len(s)-1]
	if n.asked < last.asked || n.pos.Less(last.pos) {
		return s
	}
	if n.pos == last.pos {
		// The primary is idle: the later sample implies the earlier one.
		next := append(make(samples, 0, maxSamples), s...)
		next[len(next)-1] = n
		return next
	}
	next := append(make(samples, 0, maxSamples), s...)
	if len(next) == maxSamples {
		next = next.thinned()
	}
	return append(next, n)
}

// thinned drops every other sample of the older half. Large ages become coarser and are always
// rounded up, but the list covers an exponentially longer time: the age of a replica that is 30 s
// behind is still known.
func (s samples) thinned() samples {
	half := len(s) / 2
	out := s[:0]
	for i, x := range s {
		if i < half && i%2 == 1 {
			continue
		}
		out = append(out, x)
	}
	return out
}

// reachedAt returns when the primary was first known to have reached pos: the time of the oldest
// sample that covers it.
func (s samples) reachedAt(h timeline.History, pos timeline.Position) (clock.Time, bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if h.Covers(s[i].pos, pos) {
			continue
		}
		if i == len(s)-1 {
			return 0, false
		}
		return s[i+1].asked, true
	}
	if len(s) == 0 {
		return 0, false
	}
	return s[0].asked, true
}

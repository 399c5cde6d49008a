package routing

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/timeline"
)

// maxSamples bounds a group's samples: 256 of 32 bytes.
const maxSamples = 256

// sample says that the primary was at pos or later when asked.
type sample struct {
	asked clock.Time
	pos   timeline.Position
}

// samples is an immutable list in ascending order of asked and pos.
type samples []sample

// with returns s with one more sample. A sample that is out of order is left
// out: the list stays sorted, and a missing sample only makes ages larger.
func (s samples) with(n sample) samples {
	if len(s) == 0 {
		return samples{n}
	}
	last := s[len(s)-1]
	if n.asked < last.asked || n.pos.Less(last.pos) {
		return s
	}
	if n.pos == last.pos {
		// An idle primary: the later instant says strictly more.
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

// thinned drops every other sample of the older half. Old ages become coarser,
// always rounded up, while the list reaches exponentially far back: a replica
// that is half a minute behind still has a known age.
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

// reached returns when the primary was first known to have passed pos: the
// instant of the oldest sample that covers it.
func (s samples) reached(h timeline.History, pos timeline.Position) (clock.Time, bool) {
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

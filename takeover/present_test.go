package takeover

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// copies are the logs of a service while one of its targets is replaced. A log is the terms of its commits.
type copies struct {
	logs   map[target.ID][]timeline.Term
	leader target.ID
	term   timeline.Term
	// led is the term in which each target led last, as far as it is known.
	led   map[target.ID]timeline.Term
	acked []timeline.Term // the longest log up to an acknowledged commit
}

var ids = []target.ID{"a", "b", "c", "d"}

func (c *copies) end(id target.ID) timeline.Position {
	log := c.logs[id]
	if len(log) == 0 {
		return timeline.Position{Term: c.term}
	}
	return timeline.Position{Term: log[len(log)-1], LSN: timeline.LSN(len(log))}
}

// commit appends commits at the primary, which some of the others receive.
func (c *copies) commit(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "commits") {
		c.logs[c.leader] = append(slices.Clone(c.logs[c.leader]), c.term)
	}
	log := c.logs[c.leader]
	for _, id := range ids {
		if id == c.leader || !rapid.Bool().Draw(t, "receives") {
			continue
		}
		c.logs[id] = log[:len(log)-rapid.IntRange(0, 1).Draw(t, "behind")]
		if acked := c.logs[id]; len(acked) > len(c.acked) && acked[len(acked)-1] == c.term {
			c.acked = acked
		}
	}
}

// fenced returns all targets, or all but a primary that does not answer.
func (c *copies) fenced(withPrimary bool) (out []Fenced) {
	for _, id := range ids {
		if id == c.leader && !withPrimary {
			continue
		}
		f := Fenced{ID: id, Term: c.end(id).Term, Received: c.end(id)}
		if id == c.leader {
			f.Term = c.term
		}
		out = append(out, f)
	}
	return out
}

func (c *copies) holds(id target.ID) bool {
	log := c.logs[id]
	return len(log) >= len(c.acked) && slices.Equal(log[:len(c.acked)], c.acked)
}

// promote makes a target the primary of the next term.
func (c *copies) promote(id target.ID, known bool) {
	c.term++
	c.leader = id
	if known {
		c.led[id] = c.term
	}
}

// Failure guarded against: a target that the platform may consider the present primary is avoided,
// although it alone holds what others have acknowledged with its help.
func TestAvoidedTargetIsNotTheOnlyHolder(t *testing.T) {
	avoidedAny := false
	rapid.Check(t, func(t *rapid.T) {
		c := &copies{logs: make(map[target.ID][]timeline.Term), led: make(map[target.ID]timeline.Term)}
		c.promote("a", rapid.Bool().Draw(t, "known"))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				c.commit(t)
				continue
			}
			present := rapid.SampledFrom(ids).Draw(t, "present")
			bound := timeline.Position{}
			if n := rapid.IntRange(0, len(c.acked)).Draw(t, "bound"); n > 0 {
				bound = timeline.Position{Term: c.acked[n-1], LSN: timeline.LSN(n)}
			}
			led, answers := c.led[present], rapid.Bool().Draw(t, "primary answers")
			if !answers {
				led = 0
			}
			fenced := c.fenced(answers)
			chosen, avoids := ChooseOther(fenced, Present{ID: present, Led: led}, bound)
			if !avoids {
				var err error
				chosen, err = Choose(fenced, nil)
				require.NoError(t, err)
			}
			avoidedAny = avoidedAny || avoids
			require.True(t, c.holds(chosen.ID), "%s with %v lacks %v of %v", chosen.ID, c.logs[chosen.ID], c.acked, c.logs)
			c.promote(chosen.ID, rapid.Bool().Draw(t, "known"))
		}
	})
	require.True(t, avoidedAny)
}

// Failure guarded against: a primary that has stepped down without a successor is designated again and
// again without effect, for commits that nobody has acknowledged.
func TestPrimaryThatSteppedDownIsAvoided(t *testing.T) {
	at := func(term, n int) timeline.Position {
		return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
	}
	fenced := []Fenced{{ID: "p", Received: at(3, 12)}, {ID: "q"}, {ID: "r"}}
	for name, c := range map[string]struct {
		led   timeline.Term
		bound timeline.Position
		q, r  timeline.Position
		want  bool
	}{
		"it led":                       {led: 3, q: at(3, 10), r: at(3, 9), want: true},
		"one holds as much":            {q: at(3, 12), r: at(2, 9), want: true},
		"another may have led":         {q: at(3, 10), r: at(3, 9)},
		"it led before":                {led: 2, q: at(3, 10), r: at(3, 9)},
		"nobody followed it":           {led: 3, q: at(2, 10), r: at(2, 9)},
		"one did not follow it":        {led: 3, q: at(3, 10), r: at(2, 9)},
		"one has joined":               {led: 3, q: at(3, 10), r: at(3, 0)},
		"the others lack the bound":    {led: 3, bound: at(3, 11), q: at(3, 10), r: at(3, 9)},
		"nobody followed, same length": {led: 3, q: at(2, 12), r: at(2, 12)},
	} {
		fenced[1].Received, fenced[2].Received = c.q, c.r
		chosen, ok := ChooseOther(fenced, Present{ID: "p", Led: c.led}, c.bound)
		require.Equal(t, c.want, ok, name)
		if c.want {
			require.Equal(t, target.ID("q"), chosen.ID, name)
		}
	}
	followed := []Fenced{fenced[0], {ID: "q", Term: 4, Received: at(3, 10)}, {ID: "r", Received: at(3, 10)}}
	_, ok := ChooseOther(followed, Present{ID: "p", Led: 3}, timeline.Position{})
	require.False(t, ok, "one knows a later term")
	_, ok = ChooseOther(fenced[:2], Present{ID: "p", Led: 3}, timeline.Position{})
	require.False(t, ok, "one other log is too few")
}

package scenario

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/timeline"
)

// Finding is one breach of what must always hold.
type Finding struct {
	// Rule is "lost", "twice", "ran", "superseded", "term-twice", "history",
	// "reverted", "behind" or "no-primary".
	Rule   string
	Detail string
}

// String returns the rule and the detail.
func (f Finding) String() string { return f.Rule + ": " + f.Detail }

// Judge compares what callers were answered with what the servers executed. It
// is to be called after Settle. It knows nothing of proxies.
func (w *World) Judge() []Finding {
	p := w.primary()
	if p == nil {
		return []Finding{{"no-primary", "no server can commit after all faults have ended"}}
	}
	var found []Finding
	found = append(found, w.judgeLost(p)...)
	found = append(found, w.judgeTwice(p)...)
	found = append(found, w.judgeRan()...)
	found = append(found, w.judgeSuperseded()...)
	found = append(found, w.judgeTerms()...)
	found = append(found, w.judgeConfiguration()...)
	return append(found, w.judgeHistories(p)...)
}

// judgeLost finds confirmed writes that the surviving log does not have.
func (w *World) judgeLost(p *server) []Finding {
	var found []Finding
	for _, c := range w.history {
		if c.access != accessWrite || c.outcome != outcome.Done || c.durability != profile.Confirmed {
			continue
		}
		kept := slices.ContainsFunc(p.log, func(e entry) bool {
			return e.call == c.id || (c.key != "" && e.key == c.key)
		})
		if !kept {
			found = append(found, Finding{"lost", describe(c)})
		}
	}
	return found
}

// judgeTwice finds requests, by key or call, that took effect more than once.
func (w *World) judgeTwice(p *server) []Finding {
	var found []Finding
	seen := map[string]bool{}
	for _, e := range p.log {
		if e.call == 0 {
			continue // the start of a term
		}
		id := e.key
		if id == "" {
			id = fmt.Sprint("call ", e.call)
		}
		if seen[id] {
			found = append(found, Finding{"twice", id})
		}
		seen[id] = true
	}
	return found
}

// judgeRan finds requests that were refused as "not run" and ran, on any server
// and also where the effect was discarded later.
func (w *World) judgeRan() []Finding {
	var found []Finding
	for _, c := range w.history {
		if c.outcome == outcome.NotRun && c.answered != 0 && len(w.executions(c)) > 0 {
			found = append(found, Finding{"ran", describe(c)})
		}
	}
	return found
}

func (w *World) executions(c *call) []execution {
	var all []execution
	for _, s := range w.servers {
		for _, e := range s.executed {
			if e.call == c.id {
				all = append(all, e)
			}
		}
	}
	return all
}

// judgeSuperseded finds acknowledged writes that only ran on a primary when a
// server of a later term was already leading. A keyed write may be acknowledged
// by the run that another call with its key had.
func (w *World) judgeSuperseded() []Finding {
	var found []Finding
	for _, c := range w.history {
		if c.access != accessWrite || c.outcome != outcome.Done {
			continue
		}
		runs := w.executions(c)
		for _, other := range w.history {
			if c.key != "" && other != c && other.key == c.key {
				runs = append(runs, w.executions(other)...)
			}
		}
		if !slices.ContainsFunc(runs, func(e execution) bool { return !w.supersededAt(e) }) {
			found = append(found, Finding{"superseded", describe(c)})
		}
	}
	return found
}

// judgeTerms finds terms in which two servers led.
func (w *World) judgeTerms() []Finding {
	var found []Finding
	leader := map[timeline.Term]string{}
	for _, s := range w.servers {
		for _, p := range s.promoted {
			if other := leader[p.term]; other != "" && other != s.name {
				found = append(found, Finding{"term-twice", fmt.Sprintf("%s and %s led term %d", other, s.name, p.term)})
			}
			leader[p.term] = s.name
		}
	}
	return found
}

func (w *World) supersededAt(e execution) bool {
	for _, s := range w.servers {
		for _, p := range s.promoted {
			if p.term > e.term && p.at.Before(e.at) {
				return true
			}
		}
	}
	return false
}

// judgeHistories checks with porcupine that the callers' answers are those of
// one row that each write adds to. Rows with witnessed writes are left out:
// those may be lost by a crash, and say so.
func (w *World) judgeHistories(p *server) []Finding {
	var found []Finding
	for _, row := range w.rows() {
		if !porcupine.CheckOperations(rowModel, w.operations(row, p)) {
			found = append(found, Finding{"history", "row " + row + " is not linearizable"})
		}
	}
	return found
}

func (w *World) rows() []string {
	witnessed := map[string]bool{}
	var rows []string
	for _, c := range w.history {
		if c.access == accessWrite && c.durability == profile.Witnessed {
			witnessed[c.row] = true
		}
		rows = append(rows, c.row)
	}
	slices.Sort(rows)
	rows = slices.Compact(rows)
	return slices.DeleteFunc(rows, func(r string) bool { return witnessed[r] })
}

// rowInput and rowOutput are one operation on a row.
type rowInput struct {
	read bool
	id   string // the key, or the call for a write without one
}

type rowOutput struct {
	outcome outcome.Outcome
	rows    int
}

// rowState counts the writes that must be there, and lists those that may be.
type rowState struct{ done, maybe string }

var rowModel = porcupine.Model{
	Init: func() any { return rowState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepRow(state.(rowState), input.(rowInput), output.(rowOutput))
	},
}

func stepRow(s rowState, in rowInput, out rowOutput) (bool, any) {
	if in.read {
		least := strings.Count(s.done, ";")
		return least <= out.rows && out.rows <= least+strings.Count(s.maybe, ";"), s
	}
	id := in.id + ";"
	known := strings.Contains(s.done, ";"+id) || strings.HasPrefix(s.done, id)
	switch {
	case out.outcome == outcome.Done && !known:
		s.done += id
		s.maybe = strings.Replace(s.maybe, id, "", 1)
	case out.outcome == outcome.Unknown && !known && !strings.Contains(s.maybe, id):
		s.maybe += id
	}
	return true, s
}

// operations lists what happened to a row as porcupine wants it. A write of
// unknown outcome may take effect at any later time. The surviving log is read
// as the last operation. A session's reads count from its first own write on.
func (w *World) operations(row string, p *server) []porcupine.Operation {
	var ops []porcupine.Operation
	end := 2 * int64(w.now)
	client := map[*caller]int{}
	wrote := map[*caller]bool{}
	for _, c := range w.history {
		if c.row != row || c.answered == 0 {
			continue
		}
		if c.access == accessWrite {
			wrote[c.caller] = true
		}
		if c.access == accessRead && (c.outcome != outcome.Done || !wrote[c.caller]) {
			continue
		}
		if _, ok := client[c.caller]; !ok {
			client[c.caller] = len(client)
		}
		ops = append(ops, operation(c, client[c.caller], end))
	}
	final := porcupine.Operation{
		ClientId: len(client), Input: rowInput{read: true}, Call: end + 1,
		Output: rowOutput{rows: p.rows(row)}, Return: end + 2,
	}
	return append(ops, final)
}

func operation(c *call, client int, end int64) porcupine.Operation {
	id := c.key
	if id == "" {
		id = fmt.Sprint("call-", c.id)
	}
	// A request that is made in the instant of an answer comes after it, so
	// instants are doubled and calls moved to the odd ones.
	op := porcupine.Operation{
		ClientId: client, Input: rowInput{read: c.access == accessRead, id: id}, Call: 2*int64(c.invoked) + 1,
		Output: rowOutput{outcome: c.outcome, rows: c.rows}, Return: 2 * int64(c.answered),
	}
	if c.access == accessWrite && c.outcome == outcome.Unknown {
		op.Return = end
	}
	return op
}

func describe(c *call) string {
	return fmt.Sprintf("%s %s %s%s at %s was answered %s", c.caller.name, c.op, c.row, keyNote(c), c.proxy, c.outcome)
}

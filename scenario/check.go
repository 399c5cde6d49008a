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

// Finding is one violation of an invariant.
type Finding struct {
	// Rule is "lost", "twice", "ran", "superseded", "term-twice", "history",
	// "reverted", "behind" or "no-primary".
	Rule   string
	Detail string
}

// String returns the rule and the detail.
func (f Finding) String() string { return f.Rule + ": " + f.Detail }

// Check compares the answers that callers received with what the servers executed. Call it after
// Settle. It does not look at proxies.
func (w *World) Check() []Finding {
	p := w.primary()
	if p == nil {
		return []Finding{{"no-primary", "no server can commit after all faults have ended"}}
	}
	var found []Finding
	found = append(found, w.checkLost(p)...)
	found = append(found, w.checkTwice(p)...)
	found = append(found, w.checkRan()...)
	found = append(found, w.checkSuperseded()...)
	found = append(found, w.checkTerms()...)
	found = append(found, w.checkConfiguration()...)
	return append(found, w.checkHistories(p)...)
}

// checkLost reports confirmed writes that are missing from the surviving log.
func (w *World) checkLost(p *server) []Finding {
	var found []Finding
	for _, c := range w.history {
		if c.access != accessWrite || c.outcome != outcome.Done || c.durability != profile.Confirmed {
			continue
		}
		retained := slices.ContainsFunc(p.log, func(e entry) bool {
			return e.call == c.id || (c.key != "" && e.key == c.key)
		})
		if !retained {
			found = append(found, Finding{"lost", describe(c)})
		}
	}
	return found
}

// checkTwice reports requests, identified by key or call, that took effect more than once.
func (w *World) checkTwice(p *server) []Finding {
	var found []Finding
	seen := map[string]bool{}
	for _, e := range p.log {
		if e.call == 0 {
			continue // entry that begins a term
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

// checkRan reports requests that were refused as "not run" but ran on some server, even if their
// effect was discarded later.
func (w *World) checkRan() []Finding {
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

// checkSuperseded reports acknowledged writes all of whose executions happened when a server of a
// later term had already been promoted. A keyed write may be acknowledged on the strength of an
// execution by another call with the same key.
func (w *World) checkSuperseded() []Finding {
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

// checkTerms reports terms in which two servers were primary.
func (w *World) checkTerms() []Finding {
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

// checkHistories checks each row for linearizability: a row is a counter that each write
// increments. Rows with witnessed writes are skipped, as a crash may lose those writes by design.
func (w *World) checkHistories(p *server) []Finding {
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

// rowInput and rowOutput are the input and output of one operation on a row.
type rowInput struct {
	read bool
	id   string // the key, or the call id of a write without a key
}

type rowOutput struct {
	outcome outcome.Outcome
	rows    int
}

// rowState lists the writes that must be present (done) and those that may be (maybe).
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

// operations returns the history of a row in porcupine's form. A write of unknown outcome may take
// effect at any later time. The row in the surviving log is added as a final read. A session's
// reads count only after its first own write.
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
	// A request that is made at the same time as another one's answer comes after that answer:
	// times are doubled, and calls moved to the odd values.
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

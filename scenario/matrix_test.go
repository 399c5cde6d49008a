package scenario

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/guard"
)

var (
	matrixAll  = flag.Bool("matrix.all", false, "run every pair of faults instead of a sample")
	matrixCell = flag.String("matrix.cell", "", "run one cell only, such as write/committed/crash+store-down")
	matrixSeed = flag.Uint64("matrix.seed", 1, "seed of every cell")
)

// pairStride selects the pairs of an ordinary run: one in pairStride.
const pairStride = 20

// cell is an operation with one or two faults that are injected at one of its steps.
type cell struct {
	op     operationCase
	step   string
	faults []fault
}

func (c cell) name() string {
	names := make([]string, len(c.faults))
	for i, f := range c.faults {
		names[i] = f.name
	}
	return c.op.name + "/" + c.step + "/" + strings.Join(names, "+")
}

// result is the outcome of a cell.
type result struct {
	cell       cell
	tookEffect bool
	found      []Finding
}

// run executes one cell: the operation with background load, the faults at the step, the end of all
// faults, and the checkers.
func (c cell) run(seed uint64, guards guard.Set) (r result) {
	defer func() {
		if cause := recover(); cause != nil {
			r = result{cell: c, tookEffect: true, found: []Finding{{"endless", fmt.Sprint(cause)}}}
		}
	}()
	w := Standard(seed, guards)
	tookEffect := make([]func() bool, 0, len(c.faults))
	w.OnceAtStep(c.op.eventOp, c.step, func(s StepEvent) {
		for _, f := range c.faults {
			tookEffect = append(tookEffect, f.inject(w, s))
		}
	})
	w.background()
	c.op.run(w)
	w.Advance(9 * time.Second)
	r = result{cell: c, tookEffect: len(tookEffect) > 0}
	for _, effect := range tookEffect {
		r.tookEffect = r.tookEffect && effect()
	}
	w.Settle()
	r.found = append(w.checkService(), w.Check()...)
	if *matrixCell != "" {
		fmt.Fprint(os.Stdout, w.TakeTrace())
	}
	return r
}

// checkService reports VMs that do not serve requests once all faults have ended.
func (w *World) checkService() []Finding {
	var found []Finding
	for _, v := range w.vms {
		c := w.start("probe-"+v.name, v.name, request{op: "probe", row: "probe-" + v.name, key: "probe-" + v.name})
		w.AdvanceUntil(answerLimit, func() bool { return c.answered != 0 })
		if c.outcome.String() != "done" {
			found = append(found, Finding{"no-service", describe(c)})
		}
	}
	return found
}

// background makes one session write and read through all proxies during the run. A purchase of
// unknown outcome is repeated through the next proxy.
func (w *World) background() {
	for i := range 12 {
		at := w.now.Add(time.Duration(i)*370*time.Millisecond + 100*time.Millisecond)
		key := fmt.Sprint("bg", i)
		w.at(at, func() { w.buyUntilKnown(key, i, 3) })
		w.at(at.Add(150*time.Millisecond), func() {
			w.start("bob", w.vms[(i+1)%3].name, request{op: "other", access: accessRead, row: "bob"})
		})
	}
}

func (w *World) buyUntilKnown(key string, at, tries int) {
	c := w.start("bob", w.vms[at%3].name, request{op: "other", row: "bob", key: key})
	w.at(c.deadline.Add(callerGrace+time.Millisecond), func() {
		if c.outcome.String() != "done" && tries > 0 {
			w.buyUntilKnown(key, at+1, tries-1)
		}
	})
}

// cells returns all cells with a single fault, and all cells with a pair of faults at one step.
func cells() (single, pairs []cell) {
	for _, op := range operationCases {
		for _, step := range op.steps {
			for i, f := range faults {
				single = append(single, cell{op, step, []fault{f}})
				for _, g := range faults[i+1:] {
					pairs = append(pairs, cell{op, step, []fault{f, g}})
				}
			}
		}
	}
	return single, pairs
}

func selectedCells() []cell {
	single, pairs := cells()
	if *matrixCell != "" {
		all := append(single, pairs...)
		return slices.DeleteFunc(all, func(c cell) bool { return c.name() != *matrixCell })
	}
	if *matrixAll {
		return append(single, pairs...)
	}
	for i := 0; i < len(pairs); i += pairStride {
		single = append(single, pairs[i])
	}
	return single
}

func runCells(list []cell, seed uint64, guards guard.Set) []result {
	results := make([]result, len(list))
	var next sync.Mutex
	var done sync.WaitGroup
	at := 0
	for range min(4, runtime.GOMAXPROCS(0)) {
		done.Go(func() {
			for {
				next.Lock()
				i := at
				at++
				next.Unlock()
				if i >= len(list) {
					return
				}
				results[i] = list[i].run(seed, guards)
			}
		})
	}
	done.Wait()
	return results
}

// TestFaultMatrix injects every fault, and a sample of the pairs of faults, at each step of every
// operation. It prints the failing cells and then the totals. To repeat one cell:
//
//	go test ./scenario -run TestFaultMatrix -matrix.cell <name>
func TestFaultMatrix(t *testing.T) {
	totals := map[string]*tally{}
	failed := 0
	results := runCells(selectedCells(), *matrixSeed, nil)
	for _, r := range results {
		for _, name := range []string{r.cell.op.name, "all"} {
			if totals[name] == nil {
				totals[name] = &tally{}
			}
			totals[name].count(r)
		}
		if len(r.found) > 0 {
			failed++
			fmt.Fprintf(os.Stdout, "FAILED %s seed=%d: %v\n", r.cell.name(), *matrixSeed, r.found)
		}
	}
	for _, op := range operationCases {
		printTally(op.name, totals[op.name])
	}
	printWithoutEffect(results)
	printTally("all", totals["all"])
	require.Zero(t, failed, "cells failed")
}

// printWithoutEffect prints which single faults never took effect, and in which operations. A fault
// in something that the operation does not use proves nothing.
func printWithoutEffect(results []result) {
	count := map[string]int{}
	for _, r := range results {
		if !r.tookEffect && len(r.cell.faults) == 1 {
			count[r.cell.faults[0].name+" at "+r.cell.op.name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(os.Stdout, "not struck: %s, %d steps\n", name, count[name])
	}
}

// tally counts cells. A cell with findings counts as failed even if its fault did not take effect.
type tally struct{ tried, passed, failed, withoutEffect int }

func (t *tally) count(r result) {
	t.tried++
	switch {
	case len(r.found) > 0:
		t.failed++
	case !r.tookEffect:
		t.withoutEffect++
	default:
		t.passed++
	}
}

func printTally(name string, t *tally) {
	if t == nil {
		return
	}
	fmt.Fprintf(os.Stdout, "matrix %-12s tried=%d passed=%d failed=%d not-struck=%d\n",
		name, t.tried, t.passed, t.failed, t.withoutEffect)
}

package load

import (
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/internal/experiment/report"
)

// Run runs one shape with one setup.
func Run(shape Shape, setup Setup) *Tally {
	w := newWorld(shape, setup)
	w.start()
	w.s.Run(duration)
	return w.tally
}

// RunSeeds runs seeds 1 to n, up to parallel at once, and adds up their tallies.
func RunSeeds(shape Shape, setup Setup, n, parallel int) *Tally {
	all := make([]*Tally, n)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range n {
		group.Go(func() error {
			one := setup
			one.Seed = uint64(i + 1)
			all[i] = Run(shape, one)
			return nil
		})
	}
	_ = group.Wait()
	sum := all[0]
	for _, t := range all[1:] {
		sum.add(t)
	}
	return sum
}

// Compare prints the tables, and saves the plot of the worth served during the spikes.
func Compare(out io.Writer, plotPath string, seeds, parallel int) error {
	drawing := report.Plot{Title: "Worth served in time through the spikes", X: "second", Y: "worth a second"}
	for _, shape := range Shapes() {
		table := report.Table{Title: "Load: " + shape.Name, Header: header(shape)}
		for _, p := range Policies() {
			t := RunSeeds(shape, Setup{Policy: p}, seeds, parallel)
			addRow(&table, shape, p.Name(), t)
			if shape.Name == "spikes" {
				drawing.Series = append(drawing.Series, worthSeries(p.Name(), t))
			}
		}
		if err := table.Print(out); err != nil {
			return err
		}
	}
	if err := ablations(out, seeds, parallel); err != nil {
		return err
	}
	return drawing.Save(plotPath)
}

func worthSeries(name string, t *Tally) report.Series {
	s := report.Series{Name: name}
	for i := range windows - 1 {
		s.X = append(s.X, float64(i))
		s.Y = append(s.Y, t.worthAt(i))
	}
	return s
}

// ablations compares the product's admission control with variants that each lack one part of it.
func ablations(out io.Writer, seeds, parallel int) error {
	setups := []struct {
		name  string
		setup Setup
	}{
		{"as the product", Setup{}},
		{"waits to the deadline", Setup{KeepHopeless: true}},
		{"no retry budget", Setup{NoBudget: true}},
		{"slots not adapted", Setup{FixedSlots: true}},
		{"slots by share only", Setup{ShareOnly: true}},
	}
	for _, shape := range Shapes() {
		table := report.Table{Title: "Load, parts taken away: " + shape.Name, Header: header(shape)}
		for _, x := range setups {
			x.setup.Policy = admission.DelayRatio{}
			addRow(&table, shape, x.name, RunSeeds(shape, x.setup, seeds, parallel))
		}
		if err := table.Print(out); err != nil {
			return err
		}
	}
	return nil
}

func header(shape Shape) []string {
	h := []string{"policy", "worth in time"}
	for _, c := range classes {
		h = append(h, c.kind.Name+" in time", "p99")
	}
	h = append(h, "worst second")
	if shape.outage {
		h = append(h, "attempts/requests", "back to 95%")
	}
	return h
}

func addRow(table *report.Table, shape Shape, name string, t *Tally) {
	row := []any{name, report.Percent(t.Worth())}
	for c := range classes {
		row = append(row, report.Percent(t.Share(c)), t.P99(c))
	}
	share, c := t.Worst()
	row = append(row, fmt.Sprintf("%s %s", classes[c].kind.Name, report.Percent(share)))
	if shape.outage {
		row = append(row, float64(t.Attempts)/float64(t.Requests), t.Recovery().String())
	}
	table.Add(row...)
}

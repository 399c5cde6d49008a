// Package report formats the results of the measurements: a Table is printed as Markdown, a Plot is
// saved as an image.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is a table of text cells.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Add appends a row; cells are formatted by Cell.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = Cell(c)
	}
	t.Rows = append(t.Rows, row)
}

// Cell formats a value: durations in milliseconds, floats with four significant digits.
func Cell(c any) string {
	switch v := c.(type) {
	case time.Duration:
		return fmt.Sprintf("%.1f ms", float64(v)/float64(time.Millisecond))
	case float64:
		return fmt.Sprintf("%.4g", v)
	default:
		return fmt.Sprint(v)
	}
}

// Percent formats a share, such as 0.5, as a percentage.
func Percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// Print writes the table in Markdown with aligned columns.
func (t *Table) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n### %s\n\n", t.Title); err != nil {
		return errors.Wrap(err, "print table")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	printRow(tw, t.Header)
	rule := make([]string, len(t.Header))
	for i, h := range t.Header {
		rule[i] = strings.Repeat("-", max(len(h), 3))
	}
	printRow(tw, rule)
	for _, r := range t.Rows {
		printRow(tw, r)
	}
	return errors.Wrap(tw.Flush(), "print table")
}

func printRow(w io.Writer, cells []string) {
	_, _ = fmt.Fprintf(w, "| %s\t|\n", strings.Join(cells, "\t| "))
}

// Series is a named line of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot is a plot of lines.
type Plot struct {
	Title, X, Y string
	Series      []Series
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Save writes the plot to path, whose extension selects the format.
func (p Plot) Save(path string) error {
	canvas := plot.New()
	canvas.Title.Text = p.Title
	canvas.X.Label.Text = p.X
	canvas.Y.Label.Text = p.Y
	canvas.Legend.Top = true
	for i, s := range p.Series {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return errors.Wrapf(err, "plot %s", s.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		canvas.Add(line)
		canvas.Legend.Add(s.Name, line)
	}
	return errors.Wrapf(canvas.Save(plotWidth, plotHeight, path), "save plot %s", path)
}

func points(s Series) plotter.XYs {
	out := make(plotter.XYs, len(s.X))
	for i := range s.X {
		out[i].X, out[i].Y = s.X[i], s.Y[i]
	}
	return out
}

package ctl

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/decisions"
)

// loadCommand reads daemons' logs and needs no platform.
type loadCommand struct {
	Logs []string `arg:"" help:"Log files of daemons." type:"existingfile"`
}

// Run prints the table.
func (c *loadCommand) Run(r *runner) error {
	sum := decisions.NewSum()
	for _, path := range c.Logs {
		if err := readDecisions(sum, path); err != nil {
			return err
		}
	}
	rows := list(sum.Rows())
	return r.print(rows, func(w io.Writer) { printDecisions(w, rows) })
}

func readDecisions(sum *decisions.Sum, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	return errors.WithMessage(sum.Read(f), path)
}

func printDecisions(out io.Writer, rows []decisions.Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BY\tSUBJECT\tOUTCOME\tCOUNT\tVMS\tMOST\tAT")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", row.By, row.Subject, row.Outcome, row.Count, row.VMs, row.Most, row.MostAt)
	}
	_ = w.Flush()
}

package ctl

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/spending"
)

// spendingCommand reads daemons' logs and needs no platform.
type spendingCommand struct {
	Logs   []string `arg:"" help:"Log files of daemons." type:"existingfile"`
	ByZone bool     `help:"A line for each availability zone of the VMs."`
}

// Run prints the table.
func (c *spendingCommand) Run(r *runner) error {
	summary := spending.NewSummary()
	for _, path := range c.Logs {
		if err := readSpending(summary, path); err != nil {
			return err
		}
	}
	rows := list(summary.Rows(c.ByZone))
	return r.print(rows, func(w io.Writer) { printSpending(w, rows) })
}

func readSpending(summary *spending.Summary, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	return errors.WithMessage(summary.Read(f), path)
}

func printSpending(out io.Writer, rows []spending.Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tNAME\tDETAIL\tZONE\tVMS\tTOTAL\tMOST\tAT")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", row.Family, row.Name, row.Detail, row.Zone, row.VMs, row.Total, row.Most, row.MostAt)
	}
	_ = w.Flush()
}

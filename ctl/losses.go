package ctl

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/losses"
)

// lossesCommand reads daemons' logs and needs no platform.
type lossesCommand struct {
	Logs   []string      `arg:"" help:"Log files of daemons." type:"existingfile"`
	Window time.Duration `help:"Length of the spans in the second table." default:"2s"`
	// ByWorkspace splits the first table by workspace.
	ByWorkspace bool `help:"Count the causes for each workspace."`
}

// lossReport is the JSON output.
type lossReport struct {
	Causes  []losses.Row    `json:"causes"`
	Windows []losses.Window `json:"windows"`
}

// Run prints the tables.
func (c *lossesCommand) Run(r *runner) error {
	if c.Window <= 0 {
		return &inputError{message: "--window must be above zero"}
	}
	var all []losses.Loss
	for _, path := range c.Logs {
		found, err := readLosses(path)
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	causes := losses.ByCause(all)
	if c.ByWorkspace {
		causes = losses.ByWorkspace(all)
	}
	report := lossReport{Causes: list(causes), Windows: list(losses.ByWindow(all, c.Window))}
	return r.print(report, func(w io.Writer) { printLosses(w, report, c.ByWorkspace) })
}

func readLosses(path string) ([]losses.Loss, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	found, err := losses.Read(f)
	return found, errors.WithMessage(err, path)
}

func printLosses(out io.Writer, report lossReport, byWorkspace bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if byWorkspace {
		fmt.Fprint(w, "WORKSPACE\t")
	}
	fmt.Fprintln(w, "KIND\tCODE\tCAUSE\tCOUNT\tLONGEST\tREQUEST")
	for _, row := range report.Causes {
		if byWorkspace {
			fmt.Fprintf(w, "%s\t", row.Workspace)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", row.Kind, row.Code, row.Cause, row.Count, row.Longest, row.Request)
	}
	fmt.Fprintln(w, "\nFROM\tCOUNT\tMOST OFTEN")
	for _, span := range report.Windows {
		fmt.Fprintf(w, "%s\t%d\t%s\n", span.From.Format(time.TimeOnly), span.Count, span.Cause)
	}
	_ = w.Flush()
}

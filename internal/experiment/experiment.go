// Package experiment holds the commands that measure the decision core: the
// policies that were weighed, in virtual time from fixed seeds, and the slopes
// that docs/CAPACITY.md works with. What the product does not use lives below
// this package and nowhere else.
package experiment

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/experiment/control"
	"endivemoor.example/endivemoor/internal/experiment/load"
	"endivemoor.example/endivemoor/internal/experiment/reads"
)

// Env is what the commands run in.
type Env struct {
	Out io.Writer
}

// CLI is the command line.
type CLI struct {
	Reads   ReadsCmd   `cmd:"" help:"Compare the policies that route reads."`
	Load    LoadCmd    `cmd:"" help:"Compare the policies that hand out slots."`
	Control ControlCmd `cmd:"" help:"Measure membership, and work out the calls to the store."`

	Failover FailoverCmd `cmd:"" help:"Compare the gates of acknowledgement under a failing primary."`
}

// Options are common to the comparisons.
type Options struct {
	Seeds    int    `default:"20" help:"Number of seeds, from 1 on."`
	Parallel int    `default:"4" help:"Runs at once."`
	Plots    string `default:"out" help:"Directory for the plots."`
}

// plot returns the path of a plot, with its directory made.
func (o Options) plot(name string) (string, error) {
	if err := os.MkdirAll(o.Plots, 0o755); err != nil {
		return "", errors.Wrap(err, "make the directory for plots")
	}
	return filepath.Join(o.Plots, name), nil
}

// ReadsCmd compares the policies that route reads.
type ReadsCmd struct {
	Options
}

// Run implements the command.
func (c *ReadsCmd) Run(env *Env) error {
	path, err := c.plot("reads-share.svg")
	if err != nil {
		return err
	}
	if err := reads.Compare(env.Out, c.Seeds, c.Parallel); err != nil {
		return err
	}
	return reads.Sweep(env.Out, path, c.Seeds, c.Parallel)
}

// LoadCmd compares the policies that hand out slots.
type LoadCmd struct {
	Options
}

// Run implements the command.
func (c *LoadCmd) Run(env *Env) error {
	path, err := c.plot("load-worth.svg")
	if err != nil {
		return err
	}
	return load.Compare(env.Out, path, c.Seeds, c.Parallel)
}

// ControlCmd measures membership and the calls to the store.
type ControlCmd struct {
	Parallel int `default:"4" help:"Runs at once."`
}

// Run implements the command.
func (c *ControlCmd) Run(env *Env) error {
	if err := control.StoreCalls(env.Out); err != nil {
		return err
	}
	return control.Membership(env.Out, c.Parallel)
}

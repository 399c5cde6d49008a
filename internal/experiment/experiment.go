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

	"endivemoor.example/endivemoor/internal/experiment/capacity"
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
	Failover FailoverCmd `cmd:"" help:"Compare the gates of acknowledgement under a failing primary."`
	Reads    ReadsCmd    `cmd:"" help:"Compare the policies that route reads."`
	Load     LoadCmd     `cmd:"" help:"Compare the policies that hand out slots."`
	Control  ControlCmd  `cmd:"" help:"Measure membership, and work out the calls to the store."`
	Capacity CapacityCmd `cmd:"" help:"Measure the slopes of docs/CAPACITY.md."`
	Daemon   DaemonCmd   `cmd:"" help:"Measure the slopes of a running daemon."`
	Example  ExampleCmd  `cmd:"" help:"Write an example directory with more groups."`
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

// CapacityCmd measures how each role's work and memory grow.
type CapacityCmd struct{}

// Run implements the command.
func (*CapacityCmd) Run(env *Env) error { return capacity.Run(env.Out) }

// DaemonCmd measures a daemon that runs already.
type DaemonCmd struct {
	PID       int    `required:"" help:"Process of the daemon."`
	URL       string `required:"" name:"url" help:"Connection string of a caller."`
	Statement string `default:"/*endivemoor kind=balance*/ SELECT 1" help:"Statement to run."`
}

// Run implements the command.
func (c *DaemonCmd) Run(env *Env) error {
	return capacity.RunDaemon(env.Out, capacity.Daemon{PID: c.PID, URL: c.URL, Statement: c.Statement})
}

// ExampleCmd writes an example directory with more groups, for slopes by the
// number of groups.
type ExampleCmd struct {
	Groups int    `required:"" help:"Number of groups."`
	From   string `default:"examples/demo" help:"Example to copy."`
	To     string `required:"" help:"Directory to write."`
}

// Run implements the command.
func (c *ExampleCmd) Run(*Env) error { return capacity.WriteExample(c.From, c.To, c.Groups) }

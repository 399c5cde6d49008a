// Package experiment holds the commands that measure the decision core: they compare the product's
// policies with alternatives, in virtual time from fixed seeds, and measure the slopes that
// docs/CAPACITY.md uses. CLI is the command line. Policies that the product does not use are
// implemented below this package and nowhere else.
package experiment

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/experiment/capacity"
	"endivemoor.example/endivemoor/internal/experiment/control"
	"endivemoor.example/endivemoor/internal/experiment/live"
	"endivemoor.example/endivemoor/internal/experiment/load"
	"endivemoor.example/endivemoor/internal/experiment/reads"
)

// Env is the environment of the commands.
type Env struct {
	Out io.Writer
}

// CLI defines the command line.
type CLI struct {
	Failover FailoverCmd `cmd:"" help:"Compare the gates of acknowledgement under a failing primary."`
	Reads    ReadsCmd    `cmd:"" help:"Compare the policies that route reads."`
	Load     LoadCmd     `cmd:"" help:"Compare the policies that hand out slots."`
	Control  ControlCmd  `cmd:"" help:"Measure membership, and work out the calls to the store."`
	Capacity CapacityCmd `cmd:"" help:"Measure the slopes of docs/CAPACITY.md."`
	Daemon   DaemonCmd   `cmd:"" help:"Measure the slopes of a running daemon."`
	Live     LiveCmd     `cmd:"" help:"Measure replica reads on running daemons."`
	Example  ExampleCmd  `cmd:"" help:"Write an example directory with more groups or VMs."`
}

// Options are the flags that the comparison commands share.
type Options struct {
	Parallel int    `default:"4" help:"Runs at once."`
	Plots    string `default:"out" help:"Directory for the plots."`
}

// plot creates the directory for plots and returns the path of the named plot in it.
func (o Options) plot(name string) (string, error) {
	if err := os.MkdirAll(o.Plots, 0o755); err != nil {
		return "", errors.Wrap(err, "create directory for plots")
	}
	return filepath.Join(o.Plots, name), nil
}

// ReadsCmd compares the policies that route reads.
type ReadsCmd struct {
	Options
	Seeds int    `default:"20" help:"Number of seeds, from 1 on."`
	Only  string `help:"Only the scenarios whose name holds this, without the sweep of lags."`
}

// Run implements the command.
func (c *ReadsCmd) Run(env *Env) error {
	path, err := c.plot("reads-share.svg")
	if err != nil {
		return err
	}
	err = reads.Compare(env.Out, c.Only, c.Seeds, c.Parallel)
	if err != nil || c.Only != "" {
		return err
	}
	return reads.Sweep(env.Out, path, c.Seeds, c.Parallel)
}

// LoadCmd compares the policies that allocate slots.
type LoadCmd struct {
	Options
	Seeds int `default:"10" help:"Number of seeds, from 1 on."`
}

// Run implements the command.
func (c *LoadCmd) Run(env *Env) error {
	path, err := c.plot("load-worth.svg")
	if err != nil {
		return err
	}
	return load.Compare(env.Out, path, c.Seeds, c.Parallel)
}

// ControlCmd measures membership and calculates the rate of calls to the store.
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

// CapacityCmd measures how the processor time and memory of each role grow.
type CapacityCmd struct{}

// Run implements the command.
func (*CapacityCmd) Run(env *Env) error { return capacity.Run(env.Out) }

// DaemonCmd measures a running daemon.
type DaemonCmd struct {
	PID       int    `required:"" help:"Process of the daemon."`
	URL       string `required:"" name:"url" help:"Connection string of a caller."`
	Statement string `default:"/*endivemoor kind=balance*/ SELECT 1" help:"Statement to run."`
}

// Run implements the command.
func (c *DaemonCmd) Run(env *Env) error {
	return capacity.RunDaemon(env.Out, capacity.Daemon{PID: c.PID, URL: c.URL, Statement: c.Statement})
}

// ExampleCmd writes an example directory with more groups or VMs, to measure slopes by their
// number.
type ExampleCmd struct {
	Groups int    `default:"1" help:"Number of groups."`
	VMs    int    `default:"3" name:"vms" help:"Number of VMs, each with a daemon."`
	From   string `default:"examples/demo" help:"Example to copy."`
	To     string `required:"" help:"Directory to write."`
}

// Run implements the command.
func (c *ExampleCmd) Run(*Env) error { return capacity.WriteExample(c.From, c.To, c.Groups, c.VMs) }

// LiveCmd measures replica reads on running daemons.
type LiveCmd struct {
	URLs    []string `required:"" name:"urls" help:"Connection strings, one for each daemon."`
	Metrics []string `required:"" help:"Metrics pages, in the same order."`
	Reads   int      `default:"8000" help:"Number of reads."`
	Seed    uint64   `default:"1" help:"Seed of the callers."`
}

// Run implements the command.
func (c *LiveCmd) Run(env *Env) error {
	return live.Run(env.Out, live.Config{URLs: c.URLs, Metrics: c.Metrics, Reads: c.Reads, Seed: c.Seed})
}

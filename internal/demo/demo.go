// Package demo runs the main functions of the daemons end to end from a caller's point of view: it
// buys a pass, reads it through other daemons, kills the primary, buys another pass, changes a
// profile, and shuts a daemon down during a transaction. Each step prints its duration, its outcome
// and where to look for more details. Main runs all steps; it starts no process.
package demo

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

const (
	stepTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Options are the command line; they name the processes that the demo uses. Addresses are ip:port.
type Options struct {
	Callers  []string `help:"callers' addresses of the three daemons" required:""`
	Admin    []string `help:"admin addresses of the three daemons" required:""`
	Controls []string `help:"fault control addresses of the group's servers, the first one's is the primary's" required:""`
	Platform string   `help:"platform address" required:""`
	Group    string   `help:"database group" default:"ledger-0"`
	Profile  string   `help:"profile" default:"passes"`
	User     string   `default:"passapp"`
	Password string   `default:"demo-only"`
	DrainPID int      `help:"process id of the daemon that is shut down (the third)" required:""`
	Ctl      string   `help:"commands that publish a profile change wait in this file; its presence says go"`
	Work     string   `help:"folder of the run's logs" required:""`
}

// step is one step of the demo. Its run returns the outcome to print.
type step struct {
	name string
	hint string
	run  func(d *demo, ctx context.Context) (string, error)
}

// demo holds the options, and the session token that later steps take from an earlier one.
type demo struct {
	Options
	token string
}

var steps = []step{
	{"ready", "GET /readyz of each daemon", (*demo).waitReady},
	{"buy", "GET /explain of the first daemon", (*demo).buy},
	{"read with token", "GET /explain of the second daemon", (*demo).readWithToken},
	{"read without token", "GET /explain of the second daemon", (*demo).readWithoutToken},
	{"ask twice", "the target's /executions", (*demo).repeatPurchase},
	{"kill primary", "GET /explain?promotion=GROUP", (*demo).killPrimary},
	{"still there", "endivemoorctl group status", (*demo).verifyPurchases},
	{"profile change", "endivemoorctl profile history", (*demo).profileChange},
	{"graceful shutdown", "the daemon's log: event=drained", (*demo).gracefulShutdown},
}

// Main runs the steps and returns the exit code.
func Main(args []string) int {
	var opts Options
	parser, err := kong.New(&opts, kong.Name("endivemoor-demo"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if _, err = parser.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return run(&demo{Options: opts})
}

func run(d *demo) int {
	for _, s := range steps {
		if err := runStep(d, s); err != nil {
			fmt.Printf("%-20s WRONG  %v\n%-20s look   %s; logs in %s\n", s.name, err, "", s.hint, d.Work)
			return 1
		}
	}
	fmt.Println("demo: all steps as they should be")
	return 0
}

func runStep(d *demo, s step) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	begin := time.Now()
	outcome, err := s.run(d, ctx)
	if err != nil {
		return err
	}
	took := time.Since(begin).Round(100 * time.Microsecond)
	fmt.Printf("%-20s ok     %-10s %s (look: %s)\n", s.name, took, outcome, s.hint)
	return nil
}

// poll calls f every pollInterval until it returns no error or ctx is done.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "condition not met by the step's deadline")
		case <-time.After(pollInterval):
		}
	}
}

package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Platform string        `help:"Address of the platform's object API, http://ip:port." env:"ENDIVEMOOR_PLATFORM" default:"http://127.0.0.1:7070"`
	Daemon   []string      `help:"Admin address of a daemon, http://ip:port; repeat for more." env:"ENDIVEMOOR_DAEMON"`
	Actor    string        `help:"Who acts; needed for changes." env:"ENDIVEMOOR_ACTOR"`
	Output   string        `help:"Form of the output: text or json." enum:"text,json" default:"text"`
	Timeout  time.Duration `help:"How long a command may take." default:"15s"`

	Profile  profileCommands `cmd:"" help:"Check, review, publish and show profiles."`
	Audit    auditCommands   `cmd:"" help:"Read, verify and export the audit trail."`
	Fleet    fleetCommands   `cmd:"" help:"Ask the daemons."`
	Group    groupCommands   `cmd:"" help:"Show database groups."`
	Target   targetCommands  `cmd:"" help:"Drain targets."`
	Losses   lossesCommand   `cmd:"" help:"Count by cause, from daemons' logs, what consumers were not served, or too late."`
	Load     loadCommand     `cmd:"" help:"Sum up, from daemons' logs, the decisions that VMs made under load, by part, subject and outcome."`
	Spending spendingCommand `cmd:"" help:"Sum up, from daemons' logs, what VMs have spent on bytes, questions and calls, by purpose."`
	Explain  explainCommand  `cmd:"" help:"Show the recorded decision about a request or a promotion, with its evidence."`
}

// exitPanic is the panic value with which kong's exit hook ends the parse, as for --help.
type exitPanic ExitCode

// Main runs one command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if e, ok := recover().(exitPanic); ok {
			code = int(e)
		}
	}()
	var line cli
	parser, err := kong.New(&line,
		kong.Name("endivemoorctl"),
		kong.Description("Operators' command line of endivemoor. Exit codes: 0 done, 1 refused, 2 bad input or findings, 3 unavailable, 4 unknown effect."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(n int) { panic(exitPanic(n)) }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return int(ExitBadInput)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "endivemoorctl:", err)
		return int(ExitBadInput)
	}
	return line.run(parsed, stdout, stderr)
}

func (c *cli) run(parsed *kong.Context, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := newRunner(ctx, c, stdout)
	if err == nil {
		err = parsed.Run(r)
	}
	if err != nil {
		report(stderr, c.Output, err)
	}
	return int(codeOf(err))
}

// failure is the JSON form of an error.
type failure struct {
	Error string   `json:"error"`
	Code  ExitCode `json:"code"`
}

func report(w io.Writer, format string, err error) {
	if format == outputJSON {
		_ = json.NewEncoder(w).Encode(failure{Error: err.Error(), Code: codeOf(err)})
		return
	}
	fmt.Fprintln(w, "endivemoorctl:", err)
}

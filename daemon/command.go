package daemon

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/edge"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/proxy"
	"endivemoor.example/endivemoor/settings"
)

// Version is the version of the program. The build sets it.
var Version = "dev"

// Exit codes of the command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// commands defines the command line.
type commands struct {
	Edge        edgeCommand   `cmd:"" help:"Run the daemon on the platform, with the settings file that it lays out, until SIGTERM."`
	Serve       serveCommand  `cmd:"" help:"Run the daemon until SIGTERM, then shut down gracefully."`
	CheckConfig checkCommand  `cmd:"" name:"check-config" help:"Check a settings file as a whole and print every finding."`
	ScramSecret secretCommand `cmd:"" name:"scram-secret" help:"Read a password from standard input and print its SCRAM-SHA-256 secret for [users]."`
	Version     versionCmd    `cmd:"" help:"Print the version."`
}

type serveCommand struct {
	Settings string `arg:"" help:"INI file."`
}

type checkCommand struct {
	Settings []string `arg:"" help:"INI files."`
}

type secretCommand struct{}

type versionCmd struct{}

// Main runs the command line and returns the exit code: 0 on success, 1 on failure, 2 for invalid
// arguments or settings.
func Main(args []string) int {
	var cli commands
	parser, err := kong.New(&cli, kong.Name("endivemoor"), kong.Description("Database proxy with session consistency."))
	if err != nil {
		return fail(err)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if err = ctx.Run(); err != nil {
		return fail(err)
	}
	return exitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var findings finding.Findings
	if errors.As(err, &findings) {
		return exitBadInput
	}
	return exitFailed
}

// edgeCommand has no argument: the platform passes the path of the settings file in the
// environment.
type edgeCommand struct {
	MetricsPort int    `default:"9464" help:"Port on this VM's address that serves /metrics; 0 serves none."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least level of the lines on standard output."`

	Without []feature.Part `placeholder:"PART,..." help:"Parts to run without, as load-reports."`
}

// Run serves until SIGTERM or SIGINT.
func (c *edgeCommand) Run() error {
	return edge.Run(context.Background(), edge.Options{MetricsPort: c.MetricsPort, LogLevel: c.LogLevel, Features: feature.Without(c.Without...)})
}

// Run serves until SIGTERM or SIGINT.
func (c *serveCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, c.Settings)
}

// Run reports the findings of all files together.
func (c *checkCommand) Run() error {
	var all finding.Findings
	for _, path := range c.Settings {
		raw, err := os.ReadFile(path)
		if err != nil {
			all = append(all, finding.Finding{File: path, Message: err.Error(), Repair: "name a readable file"})
			continue
		}
		_, found := settings.Parse(path, raw)
		all = append(all, found...)
	}
	if len(all) > 0 {
		return all
	}
	fmt.Println("no findings")
	return nil
}

// Run prints the secret of the password on the first line of standard input.
func (secretCommand) Run() error {
	in := bufio.NewScanner(os.Stdin)
	if !in.Scan() {
		return errors.New("no password on standard input")
	}
	secret, err := scramSecret(in.Text())
	if err != nil {
		return err
	}
	fmt.Println(secret)
	return nil
}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("endivemoor", Version)
	return nil
}

const (
	scramIterations = 4096
	scramSaltBytes  = 16
)

func scramSecret(password string) (string, error) {
	salt := make([]byte, scramSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "salt")
	}
	return proxy.NewVerifier(password, string(salt), scramIterations)
}

package load

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Bench   Bench   `cmd:"" help:"Compare a daemon with the server behind it."`
	Gap     Gap     `cmd:"" help:"Measure the failover gap and look for lost writes."`
	Fleet   Fleet   `cmd:"" help:"Write the files of a fleet of any size."`
	Spread  Spread  `cmd:"" help:"Measure how a configuration comes into force on a fleet."`
	Await   Await   `cmd:"" help:"Wait until daemons have a generation."`
	Control Control `cmd:"" help:"Measure what idle daemons spend on control."`
	Slopes  Slopes  `cmd:"" help:"Fit lines to what control noted."`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	var cli commands
	parser := kong.Must(&cli, kong.Name("endivemoor-load"))
	call, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	call.BindTo(context.Background(), (*context.Context)(nil))
	call.BindTo(os.Stdout, (*io.Writer)(nil))
	if err = call.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

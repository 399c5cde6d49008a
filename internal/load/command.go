package load

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Bench Bench `cmd:"" help:"Compare a daemon with the server behind it."`
	Gap   Gap   `cmd:"" help:"Measure the failover gap and look for lost writes."`
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

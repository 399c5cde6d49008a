// Command endivemoor-measure runs the comparisons and capacity benchmarks whose results the pages
// under docs/ quote.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"endivemoor.example/endivemoor/internal/experiment"
)

func main() {
	var cli experiment.CLI
	ctx := kong.Parse(&cli, kong.Description("Measure endivemoor's decisions in virtual time."))
	ctx.FatalIfErrorf(ctx.Run(&experiment.Env{Out: os.Stdout}))
}

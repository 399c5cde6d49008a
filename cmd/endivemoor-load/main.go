// Command endivemoor-load compares requests through a daemon with requests sent directly to a
// database server, in one run.
package main

import (
	"os"

	"endivemoor.example/endivemoor/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:])) }

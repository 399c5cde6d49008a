// Command endivemoorctl is the operators' command line.
package main

import (
	"os"

	"endivemoor.example/endivemoor/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command endivemoor is the proxy daemon.
package main

import (
	"os"

	"endivemoor.example/endivemoor/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }

// Command endivemoor-demo acts as a caller and an operator against the processes that
// examples/run.sh started, and prints the result of each step.
package main

import (
	"os"

	"endivemoor.example/endivemoor/internal/demo"
)

func main() { os.Exit(demo.Main(os.Args[1:])) }

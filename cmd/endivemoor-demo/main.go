// Command endivemoor-demo plays a caller and an operator against the processes
// that examples/demo/run.sh started, and says step by step what came of it.
package main

import (
	"os"

	"endivemoor.example/endivemoor/internal/demo"
)

func main() { os.Exit(demo.Main(os.Args[1:])) }

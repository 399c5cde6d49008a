// Command standin runs one review case: it starts the project's stand-ins for the platform's store, the
// failover call and a group of database servers, starts the daemons as separate processes, plays
// consumers against them and checks what the servers ran.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case.
type scenario struct {
	// servers are the ids of the database servers; the first one is the primary.
	servers []string
	// play plays the case. With trouble set it adds the disruption.
	play func(d *deployment, trouble bool) error
	// judge returns how the rule was broken.
	judge func(d *deployment) []string
}

// Of two equal logs, the daemons promote that of the server whose id sorts first.
var scenarios = map[string]scenario{
	"second-failover":      {[]string{"ledger-3", "ledger-1", "ledger-2"}, secondFailover, lost},
	"replica-restarts":     {[]string{"ledger-1", "ledger-2", "ledger-3"}, replicaRestarts, lost},
	"split-while-stopping": {[]string{"ledger-1", "ledger-2", "ledger-3"}, splitWhileStopping, unasked},
}

func main() {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/endivemoor", "the daemon's program")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	code, err := run(*name, *daemon, *out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(name, daemon, out string, trouble bool) (int, error) {
	s, known := scenarios[name]
	if !known {
		return exitNotRun, errors.New("unknown case " + name)
	}
	rec, err := newRecord(out)
	if err != nil {
		return exitNotRun, err
	}
	defer rec.close()
	rec.printf("case %s, with trouble: %t", name, trouble)
	dir, err := os.MkdirTemp("", "endivemoor-review-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	program, err := filepath.Abs(daemon)
	if err != nil {
		return exitNotRun, err
	}
	d, err := startDeployment(rec, program, dir, s.servers)
	if err != nil {
		return exitNotRun, err
	}
	defer d.stop()
	if err := s.play(d, trouble); err != nil {
		rec.printf("the case could not run: %v", err)
		return exitNotRun, err
	}
	d.dumpLogs()
	return verdict(rec, s.judge(d)), nil
}

func verdict(rec *record, broken []string) int {
	for _, finding := range broken {
		rec.printf("BROKEN %s", finding)
		fmt.Println("BROKEN", finding)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

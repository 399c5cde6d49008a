// Command stand2 is the platform, the servers and the consumers of the review's scripted cases. It
// writes the settings files of the machines to a folder, waits until these are ready, plays a case
// and writes to a record what was sent, answered and run. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// machines is the number of machines that run.sh starts.
const machines = 3

// Values of --trouble: all disruptions of a case, or none. Any other value stands for the first of the two
// alone: the primary is cut off, or the replicas fall behind.
const (
	troubleAll  = "1"
	troubleNone = "0"
)

func main() {
	dir := flag.String("dir", "", "folder for the settings files")
	path := flag.String("record", "", "file for the record")
	trouble := flag.String("trouble", troubleAll, "which disruption to bring about")
	flag.Parse()
	os.Exit(play(*dir, *path, flag.Arg(0), *trouble))
}

func play(dir, path, name string, trouble string) int {
	rec, err := newRecord(path)
	if err != nil {
		return notRun(err)
	}
	rec.line("case %s, trouble %s", name, trouble)
	broken, err := playCase(rec, dir, name, trouble)
	time.Sleep(100 * time.Millisecond) // until late lines are written
	if err != nil {
		rec.line("not run: %v", err)
		return notRun(err)
	}
	rec.line("broken: %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", name, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// playCase starts the platform and plays a case.
func playCase(rec *record, dir, name, trouble string) (broken int, err error) {
	cases := map[string]func(d *deployment, trouble string) (int, error){
		"lost": lostCommits, "replaced": replaced, "own-writes": ownWrites,
	}
	if cases[name] == nil {
		return 0, fmt.Errorf("there is no case %q", name)
	}
	d, err := start(rec, dir, machines, firstService, secondService)
	if err != nil {
		return 0, err
	}
	fmt.Println("listening")
	broken, err = cases[name](d, trouble)
	for _, c := range d.world.Store.DesignationCalls() {
		rec.line("failover call at %s: service %s, server %s, holder %s, fence %d", c.At.Format("15:04:05.000"), c.Service, c.ID, c.Holder, c.Token)
	}
	return broken, err
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

package edge_test

import (
	"fmt"
	"strings"
	"time"
)

// faultCommands maps the commands of scenarios to faults of a fleet. The arguments are names; see
// testdata/fleet/README.md.
var faultCommands = map[string]func(f *fleet, args []string){
	"crash":   func(f *fleet, a []string) { f.world.Crash(service, a[0]) },
	"restart": func(f *fleet, a []string) { f.world.Restart(service, a[0]) },
	"remove":  func(f *fleet, a []string) { f.world.Remove(service, a[0]) },
	"reborn":  func(f *fleet, a []string) { f.world.RestartEmpty(service, a[0]) },
	"garble":  func(f *fleet, a []string) { f.world.CorruptEntry(service, a[0], a[1]) },
	"enter":   func(f *fleet, a []string) { f.world.WriteEntry(service, a[0]) },
	"drain":   func(f *fleet, a []string) { f.world.Drain(service, a[0]) },
	"deafen":  func(f *fleet, a []string) { f.group.SetReplicationCut(a[0], true) },
	"undeafen": func(f *fleet, a []string) {
		f.group.SetReplicationCut(a[0], false)
	},
	"join":         func(f *fleet, a []string) { f.world.AddServer(service, a[0], a[1]) },
	"lose-answers": func(f *fleet, a []string) { f.group.LoseAnswers(a[0], parseInt(a[1])) },
	"kill":         func(f *fleet, a []string) { f.kill(a[0]) },
	"stop":         func(f *fleet, a []string) { f.vms[a[0]].stop() },
	"again":        func(f *fleet, a []string) { f.restartVM(a[0]) },
	"cut":          func(f *fleet, a []string) { f.world.Net.Cut(a[0], a[1]) },
	"heal":         func(f *fleet, a []string) { f.world.Net.Heal(a[0], a[1]) },
	"heal-all":     func(f *fleet, _ []string) { f.world.Net.HealAll() },
	"isolate":      func(f *fleet, a []string) { f.isolate(a[0]) },
	"slow-net":     func(f *fleet, a []string) { f.world.Net.SetDelay(parseDuration(a[0])) },
	"store": func(f *fleet, a []string) {
		switch a[0] {
		case "down":
			f.world.Store.SetDown(true)
		case "up":
			f.world.Store.SetDown(false)
		case "loses":
			f.world.Store.LoseAnswers(parseInt(a[1]))
		case "forgets":
			f.world.Store.DropHistory()
		case "restored":
			f.world.RestoreStore(parseDuration(a[1]), parseDuration(a[2]))
		case "refuses":
			f.world.CutFromStore(a[1], true)
		default:
			panic("unknown store command: " + a[0])
		}
	},
}

// execute runs a command such as "crash ledger-0".
func (f *fleet) execute(line string) {
	words := strings.Fields(line)
	command := faultCommands[words[0]]
	if command == nil {
		panic(fmt.Sprintf("unknown scenario command: %q", line))
	}
	command(f, words[1:])
}

func parseInt(word string) int {
	var n int
	if _, err := fmt.Sscan(word, &n); err != nil {
		panic(err)
	}
	return n
}

func parseDuration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		panic(err)
	}
	return d
}

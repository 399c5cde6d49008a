package edge_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
)

// everyCell plays the whole matrix instead of the sample that CI plays.
var everyCell = flag.Bool("fleet.all", false, "play every cell of the fleet's fault matrix")

// sampled is the part of the cells that is played without -fleet.all.
const sampled = 12

// matrixTroubles are struck alone and in pairs, each with what ends it. Several
// lines of one are struck at once.
var matrixTroubles = []struct{ name, strike, end string }{
	{"primary-crashes", "crash ledger-0", "restart ledger-0"},
	{"primary-gone", "remove ledger-0", ""},
	{"primary-leaves", "drain ledger-0", ""},
	{"primary-deaf", "deafen ledger-0", "undeafen ledger-0"},
	{"primary-dark-for-one", "cut vm0 ledger-0", "heal vm0 ledger-0"},
	{"primary-dark-for-most", "cut vm0 ledger-0;cut vm1 ledger-0", "heal vm0 ledger-0;heal vm1 ledger-0"},
	{"replica-crashes", "crash ledger-1", "restart ledger-1"},
	{"primary-starts-again", "reborn ledger-0", ""},
	{"replica-starts-again", "reborn ledger-1", ""},
	{"entries-garbled", "garble x-1 addr;garble ledger-1 text", "enter ledger-1"},
	{"replica-deaf", "deafen ledger-1", "undeafen ledger-1"},
	{"replicas-deaf", "deafen ledger-1;deafen ledger-2", "undeafen ledger-1;undeafen ledger-2"},
	{"replica-joins", "join ledger-3 a", ""},
	{"answers-lost", "lose-answers ledger-0 4;lose-answers ledger-1 4", ""},
	{"vm-dies", "kill vm0", "again vm0"},
	{"vms-die", "kill vm0;kill vm1", "again vm0;again vm1"},
	{"vm-leaves", "stop vm1", "again vm1"},
	{"vm-alone", "isolate vm1", "heal-all"},
	{"vm-without-store", "store refuses vm0", "heal-all"},
	{"store-down", "store down", "store up"},
	{"store-loses", "store loses 3", ""},
	{"store-forgets", "store forgets", ""},
	{"store-restored", "store restored 200ms 3s", ""},
	{"slow-net", "slow-net 40ms", "slow-net 0s"},
}

// gaps between the two troubles of a pair: at once, within an attempt's steps,
// after an attempt, and after it has settled.
var gaps = []time.Duration{0, 60 * time.Millisecond, 450 * time.Millisecond, 1300 * time.Millisecond}

// Every trouble, and every two of them at several distances, strike a fleet under
// load. Whatever its users were told must hold: nothing that was confirmed is
// lost, nothing takes effect twice, nobody reads less than the route allows; and
// once all has ended, sales go on.
func TestFleetFaultMatrix(t *testing.T) {
	for i, first := range matrixTroubles {
		for j, second := range matrixTroubles {
			for _, gap := range gaps {
				if i == j && gap > 0 {
					continue
				}
				for _, connections := range []int{0, 5} {
					name := fmt.Sprintf("%s/%s/%s/%d", first.name, second.name, gap, connections)
					if !*everyCell && !drawn(name) {
						continue
					}
					t.Run(name, func(t *testing.T) { playCell(t, []int{i, j}, gap, connections) })
				}
			}
		}
	}
}

// failedOnce are cells that have failed by a fault of the product. CI plays them
// all. In this one a target that joins with an empty log was promoted, as it told the
// newest term.
var failedOnce = []string{"replicas-deaf/replica-joins/1.3s/0"}

// drawn reports whether CI plays a cell: always the same ones.
func drawn(name string) bool {
	if slices.Contains(failedOnce, name) {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()%(sampled*8*raceThins) == 0
}

// cellVMs is enough for gateways where targets take five connections.
const cellVMs = 6

func playCell(t *testing.T, cell []int, gap time.Duration, connections int) {
	playOn(t, cellVMs, database.Options{MaxConnections: connections}, func(f *fleet) {
		load := f.traffic()
		time.Sleep(time.Second)
		f.strike(matrixTroubles[cell[0]].strike)
		time.Sleep(gap)
		if cell[0] != cell[1] {
			f.strike(matrixTroubles[cell[1]].strike)
		}
		time.Sleep(3 * time.Second)
		f.strike(matrixTroubles[cell[0]].end)
		if cell[0] != cell[1] {
			f.strike(matrixTroubles[cell[1]].end)
		}
		time.Sleep(12 * time.Second)
		before := load.Sales()
		time.Sleep(2 * time.Second)
		served := load.Sales() > before
		broken, _, _ := load.End()
		require.Empty(t, broken)
		f.fair()
		require.True(t, served || unservable(cell), "sales go on once all has ended")
	})
}

// unservable reports whether a cell leaves too few logs to promote from, so that
// the service rightly waits.
func unservable(cell []int) bool {
	names := matrixTroubles[cell[0]].name + " " + matrixTroubles[cell[1]].name
	return strings.Contains(names, "primary-gone")
}

// strike carries out the lines of a trouble.
func (f *fleet) strike(lines string) {
	for _, line := range strings.Split(lines, ";") {
		if line != "" {
			f.do(line)
		}
	}
}

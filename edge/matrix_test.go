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

// allCells runs the whole matrix instead of the sample that CI runs.
var allCells = flag.Bool("fleet.all", false, "play every cell of the fleet's fault matrix")

// sampleDivisor sets the fraction of the cells that is run without -fleet.all.
const sampleDivisor = 12

// matrixFaults are injected alone and in pairs, each with the commands that end it. Commands
// separated by semicolons are run at once.
var matrixFaults = []struct{ name, inject, end string }{
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

// gaps are the times between the two faults of a pair: none, within an attempt's steps, after an
// attempt, and after the settle period.
var gaps = []time.Duration{0, 60 * time.Millisecond, 450 * time.Millisecond, 1300 * time.Millisecond}

// Every fault, and every pair of faults at several distances, is injected into a fleet under load.
// The promises made to consumers must hold: no confirmed write is lost, no write takes effect
// twice, and no read returns older data than its route allows. Writes succeed again once all faults
// have ended.
func TestFleetFaultMatrix(t *testing.T) {
	for i, first := range matrixFaults {
		for j, second := range matrixFaults {
			for _, gap := range gaps {
				if i == j && gap > 0 {
					continue
				}
				for _, connections := range []int{0, 5} {
					name := fmt.Sprintf("%s/%s/%s/%d", first.name, second.name, gap, connections)
					if !*allCells && !inSample(name) {
						continue
					}
					t.Run(name, func(t *testing.T) { runCell(t, []int{i, j}, gap, connections) })
				}
			}
		}
	}
}

// regressionCells are cells that have failed because of a fault in the product. CI runs all of
// them. In this one a target that joined with an empty log was promoted, because it reported the
// newest term.
var regressionCells = []string{"replicas-deaf/replica-joins/1.3s/0"}

// inSample reports whether CI runs a cell. The sample is always the same.
func inSample(name string) bool {
	if slices.Contains(regressionCells, name) {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()%(sampleDivisor*8*raceDivisor) == 0
}

// cellVMs is enough for gateways if targets accept five connections.
const cellVMs = 6

func runCell(t *testing.T, cell []int, gap time.Duration, connections int) {
	runFleetWith(t, cellVMs, database.Options{MaxConnections: connections}, func(f *fleet) {
		load := f.traffic()
		time.Sleep(time.Second)
		f.inject(matrixFaults[cell[0]].inject)
		time.Sleep(gap)
		if cell[0] != cell[1] {
			f.inject(matrixFaults[cell[1]].inject)
		}
		time.Sleep(3 * time.Second)
		f.inject(matrixFaults[cell[0]].end)
		if cell[0] != cell[1] {
			f.inject(matrixFaults[cell[1]].end)
		}
		time.Sleep(12 * time.Second)
		before := load.AckedWrites()
		time.Sleep(2 * time.Second)
		served := load.AckedWrites() > before
		broken, _, _ := load.End()
		require.Empty(t, broken)
		f.checkInvariants()
		require.True(t, served || unservable(cell), "writes succeed after all faults have ended")
	})
}

// unservable reports whether a cell leaves too few logs to promote from, so that the service
// correctly waits.
func unservable(cell []int) bool {
	names := matrixFaults[cell[0]].name + " " + matrixFaults[cell[1]].name
	return strings.Contains(names, "primary-gone")
}

// inject runs the commands of a fault.
func (f *fleet) inject(lines string) {
	for _, line := range strings.Split(lines, ";") {
		if line != "" {
			f.execute(line)
		}
	}
}

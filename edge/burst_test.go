package edge_test

import (
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
)

var triesText = regexp.MustCompile(`tries (\d+)$`)

// readResults counts what reads of one route got.
type readResults struct {
	mu                    sync.Mutex
	inTime, late, refused int
	// tries counts the tries of refused reads, and held those refused after the objective.
	tries, held int
	// longest is how long a refused read has waited at most.
	longest time.Duration
}

// readsAt sends reads to all VMs in turn, at a rate a second, and counts their results.
func (f *fleet) readsAt(rate int, length, objective time.Duration) *readResults {
	out := &readResults{}
	var wait sync.WaitGroup
	for n := range int(length.Seconds() * float64(rate)) {
		wait.Go(func() {
			s, started := f.world.Open(f.nextConsumer(), f.addr(vmNames(len(f.vms))[n%len(f.vms)]), bounded)
			if !assert.Equal(f.t, "I", started.State) {
				return
			}
			defer s.Close()
			sent := time.Now()
			a := s.Query("READ a")
			took := time.Since(sent)
			out.mu.Lock()
			defer out.mu.Unlock()
			switch {
			case a.OK() && took <= objective:
				out.inTime++
			case a.OK():
				out.late++
			default:
				out.refused++
				out.longest = max(out.longest, took)
				if took > objective {
					out.held++
				}
				if tries := triesText.FindStringSubmatch(a.Text); tries != nil {
					out.tries += parseInt(tries[1])
				}
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wait.Wait()
	return out
}

// For three seconds more is read than all targets can do. Guards against: gateways' reports that say
// that there is room while their queues refuse, so that reads go from one full target to the other, none
// is in time, or reads are late or refused once the burst has ended.
func TestBurstAgainstReportsAndAdmission(t *testing.T) {
	const (
		vms       = 24
		capacity  = 3 * 3 * 50 // three targets of three slots, 20 ms a statement
		objective = 500 * time.Millisecond
		timeout   = 2 * time.Second
	)
	runFleetWith(t, vms, database.Options{MaxConnections: 24, StatementTime: 20 * time.Millisecond}, func(f *fleet) {
		calm := f.readsAt(capacity/2, 2*time.Second, objective)
		burst := f.readsAt(capacity*3/2, 3*time.Second, objective)
		time.Sleep(time.Second)
		after := f.readsAt(capacity/2, 2*time.Second, objective)
		t.Logf("in time %d, late %d, refused %d in %d tries, %d after the objective, at most after %s",
			burst.inTime, burst.late, burst.refused, burst.tries, burst.held, burst.longest)
		require.Zero(t, calm.late+calm.refused)
		require.Greater(t, burst.inTime, 3*capacity*8/10)
		require.Less(t, float64(burst.inTime+burst.late+burst.tries), 1.5*float64(burst.inTime+burst.late+burst.refused))
		require.Less(t, burst.longest, timeout, "none is held until its time is over")
		require.Zero(t, after.late+after.refused)
		f.checkInvariants()
	})
}

package lane

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// useDecay is the time constant with which the use of connections is forgotten: long enough to
	// tell a workspace that sends a request every few seconds from one that has left.
	useDecay = 15 * time.Second
	// forgottenUse is the use below which a workspace without connections is forgotten.
	forgottenUse = 0.05
	// maxUseLevels is the number of connections of a workspace whose uses are counted one by one.
	maxUseLevels = 8
	// maxUseRecords bounds the workspaces whose use is recorded. Beyond it, the use of others counts
	// as none, and their connections are closed first.
	maxUseRecords = 512
)

// usage records how often each workspace lately used its connections to a target, from which
// follows what closing one of them costs.
//
// A workspace's most recently used connection is taken first. Its nth connection is thus used by a
// request that arrives while n-1 are in use, and the number of such requests is the number of
// connections that would have been opened without the nth one.
type usage struct {
	records map[string]*useRecord
}

type useRecord struct {
	// taken counts the uses of the first, second, ... connection, decayed up to the time at.
	taken [maxUseLevels]float64
	at    clock.Time
}

// used records a use of a workspace's connection while the given number of its others were in use.
func (u *usage) used(now clock.Time, workspace string, others int) {
	r := u.records[workspace]
	if r == nil {
		if len(u.records) >= maxUseRecords {
			return
		}
		if u.records == nil {
			u.records = make(map[string]*useRecord)
		}
		r = &useRecord{at: now}
		u.records[workspace] = r
	}
	keep := r.keep(now)
	for i := range r.taken {
		r.taken[i] *= keep
	}
	r.at = now
	r.taken[min(max(others, 0), maxUseLevels-1)]++
}

// ofLast returns the recent uses of the last of a workspace's open connections.
func (u *usage) ofLast(now clock.Time, workspace string, open int) float64 {
	r := u.records[workspace]
	if r == nil || open < 1 {
		return 0
	}
	return r.taken[min(open, maxUseLevels)-1] * r.keep(now)
}

// forget drops the records of workspaces that no longer use the target.
func (u *usage) forget(now clock.Time, open map[string]int) {
	for workspace, r := range u.records {
		if open[workspace] > 0 {
			continue
		}
		total := 0.0
		for _, n := range r.taken {
			total += n
		}
		if total*r.keep(now) < forgottenUse {
			delete(u.records, workspace)
		}
	}
}

func (r *useRecord) keep(now clock.Time) float64 {
	return math.Exp(-float64(now.Sub(r.at)) / float64(useDecay))
}

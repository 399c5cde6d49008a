package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/target"
)

const (
	// awayCost is the cost of a replica other than the workspace's home, where the workspace may have
	// no connection: opening one takes about as long as a typical read. A home that is slower than
	// that, or has more requests waiting, is passed over.
	awayCost = defaultLatency
	// maxAway bounds the cost if a service has many replicas.
	maxAway = 2
)

// PreferHome ranks the replicas among a read's candidates by the workspace's preference, those in this
// VM's zone and the others separately: a connection saves less than crossing zones costs. All VMs
// compute the same order from the names alone, so that the workspace's reads meet at one replica and
// share its connections there. The primary, which also has the workspace's writes, has no rank.
// Without a workspace nothing is ranked.
func PreferHome(workspace string, candidates []Candidate) {
	if workspace == "" {
		return
	}
	seed := xxhash.Sum64String(workspace)
	for i := range candidates {
		candidates[i].homeScore = homeScore(seed, candidates[i].ID)
	}
	for i := range candidates {
		c := &candidates[i]
		c.Away = 0
		for j := range candidates {
			if candidates[j].precedes(c) {
				c.Away++
			}
		}
	}
}

// precedes reports whether a workspace prefers a replica to another one that is as near.
func (c *Candidate) precedes(o *Candidate) bool {
	return !c.Primary && !o.Primary && c.SameZone == o.SameZone && c.homeScore > o.homeScore
}

// homeScore returns the score of rendezvous hashing.
func homeScore(seed uint64, id target.ID) uint64 {
	// The finalizer of SplitMix64.
	h := seed ^ xxhash.Sum64String(string(id))
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// awayFromHome returns the cost of a candidate's rank.
func awayFromHome(c *Candidate) float64 {
	return float64(awayCost * time.Duration(min(c.Away, maxAway)))
}

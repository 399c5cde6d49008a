package reads

import (
	"time"

	"endivemoor.example/endivemoor/routing"
)

// The policies that the product's Evidence policy is compared with. All choose from the same
// candidates: servers whose age and position qualify.

const retryDelay = 10 * time.Millisecond

// Policies returns the compared policies, the product's last.
func Policies() []routing.Policy {
	return []routing.Policy{
		alwaysPrimary{}, nearest{}, leastOutstanding{}, twoChoices{}, routing.EvidencePolicy{},
	}
}

// alwaysPrimary sends every read to the primary.
type alwaysPrimary struct{}

func (alwaysPrimary) Name() string { return "always-primary" }

func (alwaysPrimary) Choose(c routing.Candidates, _ uint64) routing.Decision {
	return toPrimaryOrWait(c)
}

// nearest chooses a same-zone replica, else any replica, else the primary without a wait.
type nearest struct{}

func (nearest) Name() string { return "nearest" }

func (nearest) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	for i := range c.N {
		if c.Replicas[i].Local {
			return toReplica(c, i)
		}
	}
	if c.N > 0 {
		return toReplica(c, int(rnd%uint64(c.N)))
	}
	return toPrimaryOrWait(c)
}

// leastOutstanding chooses the replica with the fewest outstanding requests of this proxy.
type leastOutstanding struct{}

func (leastOutstanding) Name() string { return "least-outstanding" }

func (leastOutstanding) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	if c.N == 0 {
		return toPrimaryOrWait(c)
	}
	first := int(rnd % uint64(c.N))
	best := first
	for k := range c.N {
		i := (first + k) % c.N
		if c.Replicas[i].Outstanding < c.Replicas[best].Outstanding {
			best = i
		}
	}
	return toReplica(c, best)
}

// twoChoices chooses, of two random replicas, the one with fewer outstanding requests.
type twoChoices struct{}

func (twoChoices) Name() string { return "two-choices" }

func (twoChoices) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	if c.N == 0 {
		return toPrimaryOrWait(c)
	}
	a := int(rnd % uint64(c.N))
	b := int((rnd >> 32) % uint64(c.N))
	if c.Replicas[b].Outstanding < c.Replicas[a].Outstanding {
		a = b
	}
	return toReplica(c, a)
}

func toReplica(c routing.Candidates, i int) routing.Decision {
	return routing.Decision{Server: c.Replicas[i].Server, Reason: routing.ReasonReplica}
}

func toPrimaryOrWait(c routing.Candidates) routing.Decision {
	if c.Primary.Server == nil {
		return routing.Decision{Wait: retryDelay, Reason: routing.ReasonNoPrimary}
	}
	return routing.Decision{Server: c.Primary.Server, Reason: routing.ReasonPrimaryFallback}
}

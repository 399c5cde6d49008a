package reads

import (
	"time"

	"endivemoor.example/endivemoor/routing"
)

// The policies that the product's Evidence policy was weighed against. They
// see the same candidates: servers whose age and position qualify.

const askAgain = 10 * time.Millisecond

// Policies returns all that are compared, the product's last.
func Policies() []routing.Policy {
	return []routing.Policy{
		alwaysPrimary{}, nearest{}, leastOutstanding{}, twoChoices{}, routing.EvidencePolicy{},
	}
}

// alwaysPrimary sends every read to the primary.
type alwaysPrimary struct{}

func (alwaysPrimary) Name() string { return "always-primary" }

func (alwaysPrimary) Choose(c routing.Candidates, _ uint64) routing.Decision {
	return primaryOrWait(c)
}

// nearest takes a replica of the own zone, else any, else the primary at once.
type nearest struct{}

func (nearest) Name() string { return "nearest" }

func (nearest) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	for i := range c.N {
		if c.Replicas[i].Local {
			return replica(c, i)
		}
	}
	if c.N > 0 {
		return replica(c, int(rnd%uint64(c.N)))
	}
	return primaryOrWait(c)
}

// leastOutstanding takes the server with the fewest requests of this proxy.
type leastOutstanding struct{}

func (leastOutstanding) Name() string { return "least-outstanding" }

func (leastOutstanding) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	if c.N == 0 {
		return primaryOrWait(c)
	}
	first := int(rnd % uint64(c.N))
	best := first
	for k := range c.N {
		i := (first + k) % c.N
		if c.Replicas[i].Outstanding < c.Replicas[best].Outstanding {
			best = i
		}
	}
	return replica(c, best)
}

// twoChoices takes the one of two random replicas with less outstanding work.
type twoChoices struct{}

func (twoChoices) Name() string { return "two-choices" }

func (twoChoices) Choose(c routing.Candidates, rnd uint64) routing.Decision {
	if c.N == 0 {
		return primaryOrWait(c)
	}
	a := int(rnd % uint64(c.N))
	b := int((rnd >> 32) % uint64(c.N))
	if c.Replicas[b].Outstanding < c.Replicas[a].Outstanding {
		a = b
	}
	return replica(c, a)
}

func replica(c routing.Candidates, i int) routing.Decision {
	return routing.Decision{Server: c.Replicas[i].Server, Reason: routing.ReasonReplica}
}

func primaryOrWait(c routing.Candidates) routing.Decision {
	if c.Primary.Server == nil {
		return routing.Decision{Wait: askAgain, Reason: routing.ReasonNoPrimary}
	}
	return routing.Decision{Server: c.Primary.Server, Reason: routing.ReasonPrimaryFallback}
}

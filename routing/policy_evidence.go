package routing

import (
	"time"
)

const (
	// trickleInterval is the interval between requests to a server that is not chosen by its cost.
	trickleInterval = 500 * time.Millisecond
	// trickleShare limits these requests to one in trickleShare of this proxy's reads, so that a
	// failing server does not receive most of them under low traffic.
	trickleShare = 10
	// degradedRatio and degradedMargin define a slow server: it is degraded if its service time
	// exceeds degradedRatio times the best one's plus degradedMargin.
	degradedRatio  = 4
	degradedMargin = 10 * time.Millisecond
	// degradedFailureRate is the failure rate at or above which a server is degraded.
	degradedFailureRate = 0.3
	// remoteFactor multiplies the cost of a server in another availability zone.
	remoteFactor = 1.25
	// failingFactor is the amount by which a failure rate of 1 increases the cost, as a multiple.
	failingFactor = 10
	// minService is the minimum service time, also assumed for a server without any answer yet.
	minService = time.Millisecond
	// waitShare is the default divisor of a read's deadline that limits the wait for a replica to
	// 1/6 of the deadline.
	waitShare = 6
	// primaryLimit is the number of this proxy's requests outstanding at the primary at or above
	// which a read that a replica should serve waits instead.
	primaryLimit = 2
	// protectWait is the wait before a read considers a busy primary again.
	protectWait = 20 * time.Millisecond
)

// EvidencePolicy is the policy for production; see the package comment.
type EvidencePolicy struct {
	// WaitShare limits the wait for a replica to the deadline divided by WaitShare. 0 means the
	// default, and a negative value disables the wait.
	WaitShare int
}

func (p EvidencePolicy) waitTimeout(deadline time.Duration) time.Duration {
	switch {
	case p.WaitShare < 0:
		return 0
	case p.WaitShare == 0:
		return deadline / waitShare
	default:
		return deadline / time.Duration(p.WaitShare)
	}
}

// Name implements Policy.
func (EvidencePolicy) Name() string { return "evidence" }

// Choose implements Policy.
func (p EvidencePolicy) Choose(c Candidates, rnd uint64) Decision {
	if c.N == 0 {
		return p.chooseWithoutReplica(c)
	}
	best := bestService(&c)
	if i := trickleTo(&c, best, rnd); i >= 0 {
		return Decision{Server: c.Replicas[i].Server, Reason: ReasonTrickle}
	}
	if i := cheaperOfTwo(&c, best, rnd); i >= 0 {
		return Decision{Server: c.Replicas[i].Server, Reason: ReasonReplica}
	}
	return chooseAmongDegraded(c)
}

// chooseAmongDegraded chooses a server when every replica that qualifies is degraded: the primary
// if it is not busy, and otherwise the replica with the lowest cost.
func chooseAmongDegraded(c Candidates) Decision {
	if c.Primary.Server != nil && c.Primary.Outstanding < primaryLimit {
		return Decision{Server: c.Primary.Server, Reason: ReasonPrimaryFallback}
	}
	least := 0
	for i := range c.N {
		if cost(&c.Replicas[i]) < cost(&c.Replicas[least]) {
			least = i
		}
	}
	return Decision{Server: c.Replicas[least].Server, Reason: ReasonReplica}
}

// chooseWithoutReplica waits briefly if a replica is expected to qualify soon, and chooses the
// primary otherwise.
//
// Failure guarded against: when all replicas fall behind, their whole load moves to the primary and
// starves the writes, which time out while the primary serves reads. Only primaryLimit requests of
// this proxy may be at the primary at a time; further reads wait within their deadlines.
func (p EvidencePolicy) chooseWithoutReplica(c Candidates) Decision {
	limit := p.waitTimeout(c.Deadline)
	if c.CatchUpKnown && c.CatchUp > 0 && c.Waited+c.CatchUp <= limit {
		return Decision{Wait: c.CatchUp, Reason: ReasonAwaitReplica}
	}
	if c.Primary.Server == nil {
		return Decision{Wait: retryInterval, Reason: ReasonNoPrimary}
	}
	if c.Primary.Outstanding >= primaryAllowance(c) {
		return Decision{Wait: protectWait, Reason: ReasonProtectPrimary}
	}
	return Decision{Server: c.Primary.Server, Reason: ReasonPrimaryFallback}
}

// primaryAllowance returns the number of this proxy's requests outstanding at the primary below
// which this read may use the primary. The number doubles for a read that has waited for more than
// half of its deadline; otherwise newer reads may overtake it by chance until its deadline passes.
func primaryAllowance(c Candidates) int {
	if c.Waited > c.Deadline/2 {
		return 2 * primaryLimit
	}
	return primaryLimit
}

// bestService returns the service time to which the others are compared. It includes the primary,
// so that two slow replicas are both detected.
func bestService(c *Candidates) time.Duration {
	best := time.Duration(0)
	consider := func(x *Candidate) {
		if x.Server == nil || x.ServiceTime <= 0 || x.FailureRate >= degradedFailureRate {
			return
		}
		if best == 0 || x.ServiceTime < best {
			best = x.ServiceTime
		}
	}
	for i := range c.N {
		consider(&c.Replicas[i])
	}
	consider(&c.Primary)
	return max(best, minService)
}

func isDegraded(x *Candidate, best time.Duration) bool {
	return x.FailureRate >= degradedFailureRate || x.ServiceTime > degradedRatio*best+degradedMargin
}

// trickleTo returns the index of a replica that has answered nothing recently, because it is
// degraded or always has the higher cost, or -1 if there is none.
//
// Failure guarded against: a server that was slow once receives no more requests, because its last
// latency never changes, and the replica stays idle after it has recovered. One request per
// trickleInterval, and at most one in trickleShare, updates the evidence.
func trickleTo(c *Candidates, best time.Duration, rnd uint64) int {
	if (rnd>>16)%trickleShare != 0 {
		return -1
	}
	for i := range c.N {
		x := &c.Replicas[i]
		if c.N == 1 && !isDegraded(x, best) {
			return -1
		}
		if x.evidence != nil && x.evidence.claimTrickle(c.Now) {
			return i
		}
	}
	return -1
}

// cheaperOfTwo returns the index of the replica with the lower cost among two random replicas that
// are not degraded, or -1 if there is none.
func cheaperOfTwo(c *Candidates, best time.Duration, rnd uint64) int {
	var fit [MaxCandidates]int
	n := 0
	for i := range c.N {
		if !isDegraded(&c.Replicas[i], best) {
			fit[n] = i
			n++
		}
	}
	if n == 0 {
		return -1
	}
	first := int(rnd % uint64(n))
	second := (first + 1 + int((rnd>>32)%uint64(max(n-1, 1)))) % n
	a, b := fit[first], fit[second]
	if cost(&c.Replicas[b]) < cost(&c.Replicas[a]) {
		return b
	}
	return a
}

// cost returns the expected time until the request is answered, weighted by the server's failure
// rate and zone.
func cost(x *Candidate) float64 {
	t := float64(max(x.ServiceTime, minService)) * float64(x.Outstanding+1)
	t *= 1 + failingFactor*x.FailureRate
	if !x.Local {
		t *= remoteFactor
	}
	return t
}

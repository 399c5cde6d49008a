package routing

import (
	"time"
)

const (
	// trickleEvery is how often a server that gets none by choice gets a request.
	trickleEvery = 500 * time.Millisecond
	// trickleShare bounds these to one in trickleShare of this proxy's reads, so
	// that with little traffic a failing server does not get most of it.
	trickleShare = 10
	// easeRatio and easeMargin: a server is eased off when its service time is
	// above easeRatio times the best one's plus easeMargin.
	easeRatio  = 4
	easeMargin = 10 * time.Millisecond
	// easeFailing is the share of failures from which a server is eased off.
	easeFailing = 0.3
	// remoteFactor is the cost of another availability zone.
	remoteFactor = 1.25
	// failingFactor is how much a share of failures of 1 multiplies the cost.
	failingFactor = 10
	// minService stands in for a server that has answered nothing yet.
	minService = time.Millisecond
	// waitShare is the part of a read's deadline that may go into waiting for
	// a replica, unless it is set otherwise: 1/6.
	waitShare = 6
	// primaryShare is how many of this proxy's requests may be at the primary
	// before a read that a replica should serve waits instead.
	primaryShare = 2
	// protectWait is the wait before a protected primary is asked again.
	protectWait = 20 * time.Millisecond
)

// Evidence is the product's policy; see the package comment.
type Evidence struct {
	// WaitShare bounds the wait for a replica to the deadline divided by it; 0
	// takes the default, and a negative number never waits.
	WaitShare int
}

func (p Evidence) patience(deadline time.Duration) time.Duration {
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
func (Evidence) Name() string { return "evidence" }

// Choose implements Policy.
func (p Evidence) Choose(c Candidates, rnd uint64) Decision {
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
	return chooseAmongEased(c)
}

// chooseAmongEased is for when every replica that qualifies is slow or failing:
// the primary helps out if it has little to do, else the least bad replica.
func chooseAmongEased(c Candidates) Decision {
	if c.Primary.Server != nil && c.Primary.Outstanding < primaryShare {
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

// chooseWithoutReplica waits briefly if a replica is about to qualify, and goes
// to the primary otherwise.
//
// Failure guarded against: when all replicas fall behind, their whole load
// moves to the primary and starves the writes. It shows as purchases that time
// out while the primary serves page views. Only primaryShare requests of this
// proxy go there at once; the rest wait within their deadline.
func (p Evidence) chooseWithoutReplica(c Candidates) Decision {
	limit := p.patience(c.Deadline)
	if c.CatchUpKnown && c.CatchUp > 0 && c.Waited+c.CatchUp <= limit {
		return Decision{Wait: c.CatchUp, Reason: ReasonAwaitReplica}
	}
	if c.Primary.Server == nil {
		return Decision{Wait: askAgain, Reason: ReasonNoPrimary}
	}
	if c.Primary.Outstanding >= primaryRoom(c) {
		return Decision{Wait: protectWait, Reason: ReasonProtectPrimary}
	}
	return Decision{Server: c.Primary.Server, Reason: ReasonPrimaryFallback}
}

// primaryRoom is how many of this proxy's requests may be at the primary for
// this read to go there. It doubles for a read that has waited for half of its
// deadline: otherwise younger ones pass it by chance until it is too late.
func primaryRoom(c Candidates) int {
	if c.Waited > c.Deadline/2 {
		return 2 * primaryShare
	}
	return primaryShare
}

// bestService is the service time that the others are judged against. The
// primary counts too, so that two replicas which are both slow are found.
func bestService(c *Candidates) time.Duration {
	best := time.Duration(0)
	consider := func(x *Candidate) {
		if x.Server == nil || x.Service <= 0 || x.Failing >= easeFailing {
			return
		}
		if best == 0 || x.Service < best {
			best = x.Service
		}
	}
	for i := range c.N {
		consider(&c.Replicas[i])
	}
	consider(&c.Primary)
	return max(best, minService)
}

func easedOff(x *Candidate, best time.Duration) bool {
	return x.Failing >= easeFailing || x.Service > easeRatio*best+easeMargin
}

// trickleTo returns a replica that has answered nothing for a while, as one that
// is eased off or loses each comparison.
//
// Failure guarded against: a server that was slow once is never asked again,
// because its last latency stands. It shows as a recovered replica that stays
// idle. One request each trickleEvery, and at most one in trickleShare, brings
// the evidence up to date.
func trickleTo(c *Candidates, best time.Duration, rnd uint64) int {
	if (rnd>>16)%trickleShare != 0 {
		return -1
	}
	for i := range c.N {
		x := &c.Replicas[i]
		if c.N == 1 && !easedOff(x, best) {
			return -1
		}
		if x.board != nil && x.board.takeTrickle(c.Now) {
			return i
		}
	}
	return -1
}

// cheaperOfTwo returns the cheaper of two random replicas that are not eased
// off, or -1 if there is none.
func cheaperOfTwo(c *Candidates, best time.Duration, rnd uint64) int {
	var fit [MaxCandidates]int
	n := 0
	for i := range c.N {
		if !easedOff(&c.Replicas[i], best) {
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

// cost is the expected time until the request would be answered.
func cost(x *Candidate) float64 {
	t := float64(max(x.Service, minService)) * float64(x.Outstanding+1)
	t *= 1 + failingFactor*x.Failing
	if !x.Local {
		t *= remoteFactor
	}
	return t
}

package relay

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

const (
	// newerBy is how much newer a gateway's proof must be to be worth its bytes.
	newerBy = 50 * time.Millisecond
	// renewPart is the part of a permission after which a gateway renews its witness:
	// the rest is for the question, and for the statement that brings it along.
	renewPart = 0.75
)

// proofAge is the age of this VM's newest proof as a request tells it; 0 is none.
func proofAge(g *groups.Group, now clock.Time) uint64 {
	p, ok := g.Freshness.Newest()
	if !ok {
		return 0
	}
	return uint64(max(now.Sub(latest(p.At, p.Witnessed)).Microseconds(), 0)) + 1
}

func latest(a, b clock.Time) clock.Time { return max(a, b) }

// evidence is what an answer to another VM brings along: this gateway's newest
// proof, unless that VM has one about as new.
//
// Failure guarded against: each VM of a large fleet sends a service few statements,
// so that it has no proof of its own, and asks replicas for one with each purchase: a
// question for each statement. A gateway sees the statements of many VMs.
func (s *Server) evidence(service string, senderAge uint64) *gossippb.Evidence {
	now := s.cfg.Clock.Now()
	g := s.cfg.Groups.Group(service)
	p, ok := g.Freshness.Newest()
	if !ok {
		return nil
	}
	age := now.Sub(latest(p.At, p.Witnessed))
	if senderAge > 0 && age+newerBy > time.Duration(senderAge)*time.Microsecond {
		return nil
	}
	return gossip.EvidenceOf("", p, g.Acknowledged.Bound(), now)
}

// renew keeps this gateway's witness young while statements go to the primary.
func (s *Server) renew(service string, id target.ID) {
	g := s.cfg.Groups.Group(service)
	b := g.Leadership.Believed()
	if b.Primary != id || b.Term == 0 {
		return
	}
	age := time.Duration(float64(takeover.Permission) * renewPart)
	if !g.Freshness.WitnessedSince(b.Term, s.cfg.Clock.Now().Add(-age)) {
		g.Renew()
	}
}

// hear takes over what an answer brought along.
func hear(g *groups.Group, e *gossippb.Evidence, sent clock.Time) {
	if e != nil {
		g.Hear(gossip.ProofOf(e, sent))
	}
}

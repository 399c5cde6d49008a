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
	// minProofGain is how much newer than the sender's a gateway's proof must be to be sent along:
	// a smaller difference is not worth the bytes.
	minProofGain = 50 * time.Millisecond
	// renewFraction is the fraction of a permission's duration after which a gateway renews its
	// witness. The remainder is for the status query, and for the statement whose reply carries the
	// evidence.
	renewFraction = 0.75
)

// proofAge is the age of this VM's newest proof, in microseconds, as a request carries it; 0 means
// none.
func proofAge(g *groups.Group, now clock.Time) uint64 {
	p, ok := g.Freshness.Newest()
	if !ok {
		return 0
	}
	return uint64(max(now.Sub(latest(p.At, p.Witnessed)).Microseconds(), 0)) + 1
}

func latest(a, b clock.Time) clock.Time { return max(a, b) }

// evidence returns the evidence that a reply to another VM carries: this gateway's newest proof,
// unless that VM has one that is about as recent.
//
// Failure guarded against: each VM of a large fleet sends few statements to a service, so that it
// has no proof of its own and queries replicas for one with each purchase: one status query per
// statement. A gateway sees the statements of many VMs.
func (s *Server) evidence(service string, senderAge uint64) *gossippb.Evidence {
	now := s.cfg.Clock.Now()
	g := s.cfg.Groups.Group(service)
	p, ok := g.Freshness.Newest()
	if !ok {
		return nil
	}
	age := now.Sub(latest(p.At, p.Witnessed))
	if senderAge > 0 && age+minProofGain > time.Duration(senderAge)*time.Microsecond {
		return nil
	}
	return gossip.EvidenceOf("", p, g.Acknowledged.Bound(), now)
}

// renewWitness keeps this gateway's witness recent while statements go to the primary.
func (s *Server) renewWitness(service string, id target.ID) {
	g := s.cfg.Groups.Group(service)
	b := g.Leadership.Current()
	if b.Primary != id || b.Term == 0 {
		return
	}
	age := time.Duration(float64(takeover.Permission) * renewFraction)
	if !g.Freshness.WitnessedSince(b.Term, s.cfg.Clock.Now().Add(-age)) {
		g.Renew()
	}
}

// recordEvidence records the evidence that a reply carried.
func recordEvidence(g *groups.Group, e *gossippb.Evidence, sent clock.Time) {
	if e != nil {
		g.MergeProof(gossip.ProofOf(e, sent))
	}
}

package gossip

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Targets is a complete list at a revision of the store.
type Targets struct {
	Revision int64
	Targets  map[target.ID]*catalog.Target
}

// Fleet is the fleet's list, and the records of its reigns, at a revision.
type Fleet struct {
	Revision int64
	VMs      []catalog.VM
	Reigns   map[string]*catalog.Reign
}

func position(term, number uint64) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(number)}
}

func evidenceOf(service string, p freshness.Proof, acknowledged timeline.Position, now clock.Time) *gossippb.Evidence {
	return &gossippb.Evidence{
		Service: service, Term: uint64(p.Term), Leader: string(p.Leader),
		PositionTerm: uint64(p.Position.Term), PositionNumber: uint64(p.Position.LSN),
		AgeUs:            uint64(now.Sub(p.At).Microseconds()) + 1,
		AcknowledgedTerm: uint64(acknowledged.Term), AcknowledgedNumber: uint64(acknowledged.LSN),
	}
}

// newsOf counts ages back from when the question was sent: the answer was given
// later than that, so that every moment is at least as early as it truly was.
func newsOf(in *gossippb.PullReply, sent clock.Time) *News {
	n := &News{Proofs: make(map[string]freshness.Proof, len(in.GetEvidence())), Acknowledged: make(map[string]timeline.Position), Store: sent.Add(-microseconds(in.GetStoreAgeUs()))}
	for _, e := range in.GetEvidence() {
		n.Proofs[e.GetService()] = freshness.Proof{
			Term: timeline.Term(e.GetTerm()), Leader: target.ID(e.GetLeader()), At: sent.Add(-microseconds(e.GetAgeUs())),
			Position: position(e.GetPositionTerm(), e.GetPositionNumber()),
		}
		n.Acknowledged[e.GetService()] = position(e.GetAcknowledgedTerm(), e.GetAcknowledgedNumber())
	}
	if in.GetConfig() != nil {
		n.Config = config(in.GetConfig())
	}
	if in.GetTargets() != nil {
		n.Targets = targets(in.GetTargets())
	}
	if in.GetFleet() != nil {
		n.Fleet = fleet(in.GetFleet())
	}
	return n
}

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func configOf(c *catalog.Config) *gossippb.Config {
	out := &gossippb.Config{Version: c.Version, TransactionIdleMs: c.TransactionIdle.Milliseconds()}
	for _, r := range c.Routes {
		out.Routes = append(out.Routes, &gossippb.Route{
			Name: r.Name, Database: r.Database, Service: r.Service, Freshness: uint32(r.Freshness),
			MaxAgeUs: r.MaxAge.Microseconds(), StatementTimeoutUs: r.StatementTimeout.Microseconds(),
			ObjectiveUs: r.Objective.Microseconds(), Priority: int32(r.Priority),
		})
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, &gossippb.Service{
			Name: s.Name, MaxConnections: int32(s.MaxConnections), SyncReplicas: int32(s.SyncReplicas),
		})
	}
	return out
}

func config(in *gossippb.Config) *catalog.Config {
	out := &catalog.Config{
		Version:         in.GetVersion(),
		Routes:          make(map[string]*catalog.Route, len(in.GetRoutes())),
		Services:        make(map[string]*catalog.Service, len(in.GetServices())),
		TransactionIdle: time.Duration(in.GetTransactionIdleMs()) * time.Millisecond,
	}
	for _, r := range in.GetRoutes() {
		out.Routes[r.GetDatabase()] = &catalog.Route{
			Name: r.GetName(), Database: r.GetDatabase(), Service: r.GetService(), Freshness: catalog.Freshness(r.GetFreshness()),
			MaxAge: time.Duration(r.GetMaxAgeUs()) * time.Microsecond, StatementTimeout: time.Duration(r.GetStatementTimeoutUs()) * time.Microsecond,
			Objective: time.Duration(r.GetObjectiveUs()) * time.Microsecond, Priority: int(r.GetPriority()),
		}
	}
	for _, s := range in.GetServices() {
		out.Services[s.GetName()] = &catalog.Service{
			Name: s.GetName(), MaxConnections: int(s.GetMaxConnections()), SyncReplicas: int(s.GetSyncReplicas()),
		}
	}
	return out
}

func targetsOf(c *catalog.Catalog) *gossippb.Targets {
	out := &gossippb.Targets{Revision: c.TargetsRevision}
	for _, t := range c.Targets {
		out.Targets = append(out.Targets, &gossippb.Target{
			Id: string(t.ID), Service: t.Service, Addr: t.Addr, Zone: t.Zone,
			Slots: int32(t.Slots), Draining: t.Draining, Role: uint32(t.Role),
		})
	}
	return out
}

func targets(in *gossippb.Targets) *Targets {
	out := &Targets{Revision: in.GetRevision(), Targets: make(map[target.ID]*catalog.Target, len(in.GetTargets()))}
	for _, t := range in.GetTargets() {
		id := target.ID(t.GetId())
		out.Targets[id] = &catalog.Target{
			ID: id, Service: t.GetService(), Addr: t.GetAddr(), Zone: t.GetZone(),
			Slots: int(t.GetSlots()), Draining: t.GetDraining(), Role: target.Role(t.GetRole()),
		}
	}
	return out
}

func fleetOf(c *catalog.Catalog) *gossippb.Fleet {
	out := &gossippb.Fleet{Revision: c.FleetRevision}
	for _, vm := range c.VMs {
		out.Vms = append(out.Vms, &gossippb.VM{Id: vm.ID, Zone: vm.Zone, Peer: vm.Peer, Incarnation: vm.Incarnation, Capacity: vm.Capacity})
	}
	for _, r := range c.Reigns {
		reign := &gossippb.Reign{Service: r.Service, Revision: r.Revision, Primary: string(r.Primary), Holder: r.Holder}
		if r.Attempt != nil {
			reign.AttemptNonce, reign.AttemptDeposed = r.Attempt.Nonce, string(r.Attempt.Deposed)
		}
		out.Reigns = append(out.Reigns, reign)
	}
	return out
}

func fleet(in *gossippb.Fleet) *Fleet {
	out := &Fleet{Revision: in.GetRevision(), Reigns: make(map[string]*catalog.Reign, len(in.GetReigns()))}
	for _, vm := range in.GetVms() {
		out.VMs = append(out.VMs, catalog.VM{ID: vm.GetId(), Zone: vm.GetZone(), Peer: vm.GetPeer(), Incarnation: vm.GetIncarnation(), Capacity: vm.GetCapacity()})
	}
	for _, r := range in.GetReigns() {
		reign := &catalog.Reign{Service: r.GetService(), Revision: r.GetRevision(), Primary: target.ID(r.GetPrimary()), Holder: r.GetHolder()}
		if r.GetAttemptNonce() != "" {
			reign.Attempt = &catalog.Attempt{Holder: r.GetHolder(), Nonce: r.GetAttemptNonce(), Deposed: target.ID(r.GetAttemptDeposed())}
		}
		out.Reigns[r.GetService()] = reign
	}
	return out
}

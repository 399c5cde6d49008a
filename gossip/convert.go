package gossip

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Targets is the complete list of targets at a revision of the store.
type Targets struct {
	Revision int64
	Targets  map[target.ID]*catalog.Target
}

// Fleet is the fleet's list with the leadership records, at a revision of the store.
type Fleet struct {
	Revision          int64
	VMs               []catalog.VM
	LeadershipRecords map[string]*catalog.LeadershipRecord
}

func position(term, number uint64) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(number)}
}

// EvidenceOf encodes a proof, and the position that a new primary must hold.
func EvidenceOf(service string, p freshness.Proof, acknowledged timeline.Position, now clock.Time) *gossippb.Evidence {
	out := &gossippb.Evidence{
		Service: service, Term: uint64(p.Term), Leader: string(p.Leader),
		PositionTerm: uint64(p.Position.Term), PositionNumber: uint64(p.Position.LSN),
		AgeUs:            uint64(now.Sub(p.At).Microseconds()) + 1,
		AcknowledgedTerm: uint64(acknowledged.Term), AcknowledgedNumber: uint64(acknowledged.LSN),
	}
	if p.Witnessed > p.At {
		out.WitnessAgeUs = uint64(now.Sub(p.Witnessed).Microseconds()) + 1
	}
	return out
}

// ProofOf decodes what EvidenceOf has encoded, in the reply to a request that was sent at the given
// time.
func ProofOf(e *gossippb.Evidence, sent clock.Time) (p freshness.Proof, acknowledged timeline.Position) {
	p = freshness.Proof{
		Term: timeline.Term(e.GetTerm()), Leader: target.ID(e.GetLeader()), At: sent.Add(-microseconds(e.GetAgeUs())),
		Position: position(e.GetPositionTerm(), e.GetPositionNumber()),
	}
	if e.GetWitnessAgeUs() > 0 {
		p.Witnessed = sent.Add(-microseconds(e.GetWitnessAgeUs()))
	}
	return p, position(e.GetAcknowledgedTerm(), e.GetAcknowledgedNumber())
}

// updateOf decodes a reply. It subtracts the ages in the reply from the time at which the request
// was sent. The peer sent the reply later than that, so that no time is later than the true one.
// Changes are applied to known, the catalog that the request announced.
func updateOf(in *gossippb.PullReply, known *catalog.Catalog, sent clock.Time) *Update {
	n := &Update{Proofs: make(map[string]freshness.Proof, len(in.GetEvidence())), Acknowledged: make(map[string]timeline.Position)}
	for _, e := range in.GetEvidence() {
		n.Proofs[e.GetService()], n.Acknowledged[e.GetService()] = ProofOf(e, sent)
	}
	for _, s := range in.GetSilences() {
		n.addUnreachable(s.GetPeer(), sent.Add(-microseconds(s.GetAgeUs())))
	}
	n.Bulks = bulksOf(in.GetBulks())
	n.addConfirmation(recency.Config, in.GetConfigMark(), sent)
	n.addConfirmation(recency.Targets, in.GetTargetsMark(), sent)
	n.addConfirmation(recency.Fleet, in.GetFleetMark(), sent)
	if in.GetConfig().GetTellsWorkspaces() {
		n.Config = config(in.GetConfig())
	}
	if in.GetConfigChange().GetTellsWorkspaces() {
		n.Config = change(in.GetConfigChange()).Apply(known.Config)
	}
	if in.GetTargets() != nil {
		n.setTargets(in.GetTargets(), known)
	}
	if in.GetFleet() != nil {
		n.setFleet(in.GetFleet(), known)
	}
	return n
}

// addConfirmations encodes the confirmation of each list, with its age.
func addConfirmations(out *gossippb.PullReply, confirmations map[recency.List]recency.Confirmation, now clock.Time) {
	out.ConfigMark = confirmationOf(confirmations[recency.Config], now)
	out.TargetsMark = confirmationOf(confirmations[recency.Targets], now)
	out.FleetMark = confirmationOf(confirmations[recency.Fleet], now)
}

func confirmationOf(m recency.Confirmation, now clock.Time) *gossippb.Mark {
	if m.At == 0 {
		return nil
	}
	return &gossippb.Mark{Version: m.Version, Revision: m.Revision, AgeUs: uint64(max(m.Age(now).Microseconds(), 0)) + 1}
}

func (n *Update) addConfirmation(l recency.List, m *gossippb.Mark, sent clock.Time) {
	if m == nil {
		return
	}
	if n.Confirmations == nil {
		n.Confirmations = make(map[recency.List]recency.Confirmation)
	}
	n.Confirmations[l] = recency.Confirmation{Version: m.GetVersion(), Revision: m.GetRevision(), At: sent.Add(-microseconds(m.GetAgeUs()))}
}

func (n *Update) addUnreachable(peer string, at clock.Time) {
	if n.Unreachable == nil {
		n.Unreachable = make(map[string]clock.Time)
	}
	n.Unreachable[peer] = at
}

// setFleet sets the fleet's list, or applies the change of it. A leadership record is
// compared by its own revision, whichever list it arrives with.
func (n *Update) setFleet(in *gossippb.Fleet, known *catalog.Catalog) {
	n.Fleet = fleet(in)
	if in.GetFrom() == 0 {
		return
	}
	if in.GetDigest() == known.FleetDigest() {
		n.Fleet.VMs = known.VMs
		return
	}
	change := &catalog.ListChange[catalog.VM]{From: in.GetFrom(), To: in.GetRevision(), Updated: n.Fleet.VMs, Removed: in.GetGone(), Digest: in.GetDigest()}
	vms, ok := catalog.ApplyVMs(change, known)
	n.Fleet.VMs = vms
	if !ok {
		n.Fleet, n.Diverged = nil, true
	}
}

// setTargets is setFleet for the list of targets.
func (n *Update) setTargets(in *gossippb.Targets, known *catalog.Catalog) {
	n.Targets = targets(in)
	if in.GetFrom() == 0 {
		return
	}
	if in.GetDigest() == known.TargetsDigest() {
		n.Targets.Targets = known.Targets
		return
	}
	change := &catalog.ListChange[catalog.Target]{From: in.GetFrom(), To: in.GetRevision(), Removed: in.GetGone(), Digest: in.GetDigest()}
	for _, t := range n.Targets.Targets {
		change.Updated = append(change.Updated, *t)
	}
	all, ok := catalog.ApplyTargets(change, known)
	n.Targets.Targets = all
	if !ok {
		n.Targets, n.Diverged = nil, true
	}
}

// maxMicroseconds bounds a duration in a message. An age of more would overflow and lie in the future.
const maxMicroseconds = uint64(24 * time.Hour / time.Microsecond)

func microseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMicroseconds)) * time.Microsecond
}

func configOf(c *catalog.Config) *gossippb.Config {
	return &gossippb.Config{
		Version: c.Version, Routes: routesOf(c.Routes), Services: servicesOf(c.Services),
		TransactionIdleMs: c.TransactionIdle.Milliseconds(),
		TellsWorkspaces:   true, Keyed: c.Keyed, Workspaces: workspacesOf(c.Workspaces), Keys: keysOf(c.Keys),
	}
}

func config(in *gossippb.Config) *catalog.Config {
	return &catalog.Config{
		Version: in.GetVersion(), Routes: routes(in.GetRoutes()), Services: services(in.GetServices()),
		TransactionIdle: milliseconds(in.GetTransactionIdleMs()),
		Keyed:           in.GetKeyed(), Workspaces: workspaces(in.GetWorkspaces()), Keys: keys(in.GetKeys()),
	}
}

func changeOf(c *catalog.Change) *gossippb.ConfigChange {
	return &gossippb.ConfigChange{
		From: c.From, Version: c.To, Routes: routesOf(c.Routes), Services: servicesOf(c.Services),
		RemovedRoutes: c.RemovedRoutes, RemovedServices: c.RemovedServices,
		TransactionIdleMs: c.TransactionIdle.Milliseconds(),
		TellsWorkspaces:   true, Keyed: c.Keyed, Workspaces: workspacesOf(c.Workspaces), Keys: keysOf(c.Keys),
		RemovedWorkspaces: c.RemovedWorkspaces, RemovedKeys: digestsOf(c.RemovedKeys),
	}
}

func change(in *gossippb.ConfigChange) *catalog.Change {
	return &catalog.Change{
		From: in.GetFrom(), To: in.GetVersion(), Routes: routes(in.GetRoutes()), Services: services(in.GetServices()),
		RemovedRoutes: in.GetRemovedRoutes(), RemovedServices: in.GetRemovedServices(),
		TransactionIdle: milliseconds(in.GetTransactionIdleMs()),
		Keyed:           in.GetKeyed(), Workspaces: workspaces(in.GetWorkspaces()), Keys: keys(in.GetKeys()),
		RemovedWorkspaces: in.GetRemovedWorkspaces(), RemovedKeys: digests(in.GetRemovedKeys()),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func routesOf(routes map[string]*catalog.Route) []*gossippb.Route {
	out := make([]*gossippb.Route, 0, len(routes))
	for _, r := range routes {
		out = append(out, &gossippb.Route{
			Name: r.Name, Database: r.Database, Service: r.Service, Freshness: uint32(r.Freshness),
			MaxAgeUs: r.MaxAge.Microseconds(), StatementTimeoutUs: r.StatementTimeout.Microseconds(),
			ObjectiveUs: r.Objective.Microseconds(), Priority: int32(r.Priority), Public: r.Public,
		})
	}
	return out
}

func routes(in []*gossippb.Route) map[string]*catalog.Route {
	out := make(map[string]*catalog.Route, len(in))
	for _, r := range in {
		out[r.GetDatabase()] = &catalog.Route{
			Name: r.GetName(), Database: r.GetDatabase(), Service: r.GetService(), Freshness: catalog.Freshness(r.GetFreshness()),
			MaxAge: time.Duration(r.GetMaxAgeUs()) * time.Microsecond, StatementTimeout: time.Duration(r.GetStatementTimeoutUs()) * time.Microsecond,
			Objective: time.Duration(r.GetObjectiveUs()) * time.Microsecond, Priority: int(r.GetPriority()), Public: r.GetPublic(),
		}
	}
	return out
}

func servicesOf(services map[string]*catalog.Service) []*gossippb.Service {
	out := make([]*gossippb.Service, 0, len(services))
	for _, s := range services {
		out = append(out, &gossippb.Service{
			Name: s.Name, MaxConnections: int32(s.MaxConnections), SyncReplicas: int32(s.SyncReplicas),
		})
	}
	return out
}

func services(in []*gossippb.Service) map[string]*catalog.Service {
	out := make(map[string]*catalog.Service, len(in))
	for _, s := range in {
		out[s.GetName()] = &catalog.Service{
			Name: s.GetName(), MaxConnections: int(s.GetMaxConnections()), SyncReplicas: int(s.GetSyncReplicas()),
		}
	}
	return out
}

// targetsOf encodes change, or the full list if change is nil.
func targetsOf(c *catalog.Catalog, change *catalog.ListChange[catalog.Target]) *gossippb.Targets {
	out := &gossippb.Targets{Revision: c.TargetsRevision}
	if change == nil {
		for _, t := range c.Targets {
			out.Targets = append(out.Targets, targetOf(t))
		}
		return out
	}
	out.From, out.Gone, out.Digest = change.From, change.Removed, change.Digest
	for i := range change.Updated {
		out.Targets = append(out.Targets, targetOf(&change.Updated[i]))
	}
	return out
}

func targetOf(t *catalog.Target) *gossippb.Target {
	return &gossippb.Target{
		Id: string(t.ID), Service: t.Service, Addr: t.Addr, Zone: t.Zone,
		Slots: int32(t.Slots), Draining: t.Draining, Role: uint32(t.Role), Incarnation: t.Incarnation,
	}
}

func targets(in *gossippb.Targets) *Targets {
	out := &Targets{Revision: in.GetRevision(), Targets: make(map[target.ID]*catalog.Target, len(in.GetTargets()))}
	for _, t := range in.GetTargets() {
		id := target.ID(t.GetId())
		out.Targets[id] = &catalog.Target{
			ID: id, Service: t.GetService(), Addr: t.GetAddr(), Zone: t.GetZone(),
			Slots: int(t.GetSlots()), Draining: t.GetDraining(), Role: target.Role(t.GetRole()), Incarnation: t.GetIncarnation(),
		}
	}
	return out
}

// fleetOf encodes change, or the full list if change is nil. It adds the leadership records that are
// newer than the base revision.
func fleetOf(c *catalog.Catalog, change *catalog.ListChange[catalog.VM]) *gossippb.Fleet {
	out := &gossippb.Fleet{Revision: c.FleetRevision}
	vms := c.VMs
	if change != nil {
		vms = change.Updated
		out.From, out.Gone, out.Digest = change.From, change.Removed, change.Digest
	}
	for _, vm := range vms {
		out.Vms = append(out.Vms, &gossippb.VM{Id: vm.ID, Zone: vm.Zone, Peer: vm.Peer, Incarnation: vm.Incarnation, Capacity: vm.Capacity, Expiring: vm.Expiring, Condition: string(vm.Condition)})
	}
	for _, r := range c.LeadershipRecords {
		if r.Revision > out.GetFrom() {
			out.Reigns = append(out.Reigns, recordOf(r))
		}
	}
	return out
}

func recordOf(r *catalog.LeadershipRecord) *gossippb.Reign {
	out := &gossippb.Reign{Service: r.Service, Revision: r.Revision, Primary: string(r.Primary), Holder: r.Holder, Era: r.Era}
	if r.Attempt != nil {
		out.AttemptNonce, out.AttemptDeposed = r.Attempt.Nonce, string(r.Attempt.Deposed)
	}
	return out
}

func fleet(in *gossippb.Fleet) *Fleet {
	out := &Fleet{Revision: in.GetRevision(), LeadershipRecords: make(map[string]*catalog.LeadershipRecord, len(in.GetReigns()))}
	for _, vm := range in.GetVms() {
		out.VMs = append(out.VMs, catalog.VM{ID: vm.GetId(), Zone: vm.GetZone(), Peer: vm.GetPeer(), Incarnation: vm.GetIncarnation(), Capacity: vm.GetCapacity(), Expiring: vm.GetExpiring(), Condition: catalog.Condition(vm.GetCondition())})
	}
	for _, r := range in.GetReigns() {
		record := &catalog.LeadershipRecord{Service: r.GetService(), Revision: r.GetRevision(), Primary: target.ID(r.GetPrimary()), Holder: r.GetHolder(), Era: r.GetEra()}
		if r.GetAttemptNonce() != "" {
			record.Attempt = &catalog.Attempt{Holder: r.GetHolder(), Nonce: r.GetAttemptNonce(), Deposed: target.ID(r.GetAttemptDeposed())}
		}
		out.LeadershipRecords[r.GetService()] = record
	}
	return out
}

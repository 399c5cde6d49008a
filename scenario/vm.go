package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// vm is one VM of the system: a failover machine for the group, and a proxy.
type vm struct {
	*node
	w          *World
	zone       string
	cfg        failover.Config
	machine    *failover.Machine
	group      *view.Group // nil until it is known
	reports    map[target.ID]evidence
	tracker    *routing.Tracker
	router     *routing.Router
	proxy      *proxy
	startSteps map[string]bool // steps of the current start that were reported

	configuration publication.Version // in force on this VM
	permission    ack.Permission      // for the lease gate
}

// Steps of a VM's start, for the fault matrix.
const (
	stepBooted  = "booted"
	stepLearned = "learned"
	stepLeased  = "leased"
)

// evidence is the newest successful status of a server that a VM received.
type evidence struct {
	asked  clock.Time
	status target.Status
}

type leaseValue struct {
	Holder string `json:"holder"`
}

func groupKey(name string) string { return "groups/" + name }
func leaseKey(name string) string { return "leases/" + name }

func (w *World) addVM(name, zone string, zones []string) *vm {
	v := &vm{node: w.addNode(name), w: w, zone: zone}
	v.cfg = failover.Default()
	v.cfg.VM, v.cfg.Zone, v.cfg.Zones = name, zone, zones
	v.cfg.Guards = w.guards
	v.cfg.PromoteDelay = w.promoteDelay
	if w.heartbeat > 0 {
		v.cfg = v.cfg.Scaled(w.heartbeat)
	}
	w.vms = append(w.vms, v)
	v.boot()
	return v
}

func (w *World) vm(name string) *vm {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// boot starts the VM's process without any state of the previous one.
func (v *vm) boot() {
	v.up = true
	v.cfg.Incarnation = fmt.Sprintf("%s#%d", v.name, v.epoch)
	seed := v.w.rng.Uint64()
	v.machine = failover.New(v.cfg, groupName, rand.New(rand.NewPCG(seed, seed)))
	v.group = nil
	v.reports = make(map[target.ID]evidence)
	v.tracker = routing.NewTracker()
	v.router = routing.NewRouter(v.tracker, routing.EvidencePolicy{}, seed)
	v.proxy = newProxy(v)
	v.startSteps = make(map[string]bool)
	v.configuration = publication.Version{}
	v.w.after(v.node, 0, func() {
		v.reportStartStep(stepBooted)
		v.w.after(v.node, 0, v.tick)
		v.w.after(v.node, 0, v.watch)
		v.w.after(v.node, 0, v.exchangeConfiguration)
	})
}

// reportStartStep reports a step of the VM's start, once per start.
func (v *vm) reportStartStep(name string) {
	if !v.startSteps[name] {
		v.startSteps[name] = true
		v.w.reportStep(StepEvent{Op: "start", Step: name, Node: v.name})
	}
}

func (v *vm) tick() {
	v.step(failover.Tick{})
	v.w.after(v.node, v.cfg.Tick, v.tick)
}

func (v *vm) step(ev failover.Event) {
	epoch := v.epoch
	for _, a := range v.machine.Step(v.w.now, ev) {
		// A fault injected at one action drops or delays the remaining actions.
		v.w.runOn(v.node, epoch, func() { v.do(a) })
	}
	v.w.runOn(v.node, epoch, v.updateProxyGroup)
}

// updateProxyGroup passes the machine's group to the VM's own proxy.
func (v *vm) updateProxyGroup() {
	if v.machine.Phase() == failover.PhaseLearning {
		return
	}
	v.updateGroup(v.machine.Group())
	v.reportStartStep(stepLearned)
	if _, held := v.w.store.objects[leaseKey(groupName)]; held {
		v.reportStartStep(stepLeased)
	}
}

// updateGroup stores the group for the VM's own proxy if its term is higher than the known one.
func (v *vm) updateGroup(g view.Group) {
	if v.group == nil || g.Term > v.group.Term {
		v.group = &g
		v.proxy.onGroup()
	}
}

func (v *vm) do(a failover.Action) {
	switch a := a.(type) {
	case failover.Probe:
		v.probe(a)
	case failover.QueryPeers:
		v.queryPeers(a)
	case failover.ReadLease:
		v.readLease(a.Asked)
	case failover.RenewLease:
		v.renewLease(a)
	case failover.ReadGroup:
		v.readGroup()
	case failover.Reserve:
		v.putGroup(a.Group, a.ExpectVersion, func(version store.Version, err error) {
			v.step(failover.ReserveResult{Term: a.Group.Reserved, Version: version, Err: err})
		})
	case failover.Publish:
		v.putGroup(a.Group, a.ExpectVersion, func(version store.Version, err error) {
			v.step(failover.PublishResult{Term: a.Group.Term, Version: version, Err: err})
		})
	default:
		v.doServerAction(a)
	}
}

func (v *vm) doServerAction(a failover.Action) {
	switch a := a.(type) {
	case failover.Fence:
		v.command(a.Server, func(s *server) failover.Event {
			st, err := s.fence(a.Term)
			return failover.FenceAnswered{Server: a.Server, Term: a.Term, Status: st, Err: err}
		})
	case failover.Promote:
		v.command(a.Server, func(s *server) failover.Event {
			st, err := s.promote(a.Term)
			return failover.PromoteAnswered{Server: a.Server, Term: a.Term, Status: st, Err: err}
		})
	case failover.Follow:
		v.command(a.Server, func(s *server) failover.Event {
			list, err := s.follow(a.Primary, a.Term)
			return failover.FollowAnswered{Server: a.Server, Term: a.Term, Discarded: list, Err: err}
		})
	case failover.Announce:
		v.announce(a.Group)
	case failover.Record:
		v.record(a.Entry)
	}
}

// command calls a server and steps the machine with the answer.
func (v *vm) command(id target.ID, handle func(*server) failover.Event) {
	s := v.w.server(id)
	v.w.call(v.node, s.node, func() func() {
		ev := handle(s)
		return func() { v.step(ev) }
	}, func() {})
}

func (v *vm) probe(a failover.Probe) {
	s := v.w.server(a.Server)
	answered := false
	fail := func() {
		if !answered {
			v.step(failover.ProbeFailed(a))
		}
		answered = true
	}
	lost := v.w.probeLoss > 0 && v.w.rng.Float64() < v.w.probeLoss
	v.w.call(v.node, s.node, func() func() {
		st := s.status()
		if lost {
			return nil
		}
		return func() {
			answered = true
			v.observe(a.Asked, st)
			v.step(failover.ProbeAnswered{Server: a.Server, Asked: a.Asked, Status: st})
		}
	}, fail)
	v.w.after(v.node, v.cfg.ProbeTimeout, fail)
}

func (v *vm) observe(asked clock.Time, st target.Status) {
	if old, ok := v.reports[st.Server]; !ok || asked.After(old.asked) {
		v.reports[st.Server] = evidence{asked: asked, status: st}
	}
	v.tracker.Observe(st.Server, st, asked, v.w.now)
	v.renewPermission(asked, st)
	if v.group != nil && v.group.Primary == st.Server && st.Role == target.RolePrimary {
		v.tracker.ObservePrimary(groupName, st.Position(), asked)
	}
}

// permissionDuration is how long a replica's status lets a proxy acknowledge writes under the lease
// gate. It outlasts two lost heartbeats.
const permissionDuration = 350 * time.Millisecond

// renewPermission renews the lease gate's permission from a replica's status. A promoter waits for
// permissionDuration after a majority has promised.
func (v *vm) renewPermission(asked clock.Time, st target.Status) {
	g := v.group
	if g == nil || st.Role != target.RoleReplica || st.Promised > g.Term || st.Server == g.Primary {
		return
	}
	if asked.After(v.permission.Asked) {
		v.permission = ack.Permission{Term: g.Term, Asked: asked, Duration: permissionDuration}
	}
}

// queryPeers queries every other VM; each answers from its own evidence.
func (v *vm) queryPeers(a failover.QueryPeers) {
	for _, peer := range v.w.vms {
		if peer == v {
			continue
		}
		v.w.call(v.node, peer.node, func() func() {
			e, seen := peer.reports[a.Server]
			r := failover.PeerReport{
				VM: peer.name, Zone: peer.zone, Server: a.Server, Asked: a.Asked,
				Seen: seen, LastGood: peer.w.now.Sub(e.asked), Status: e.status,
			}
			return func() { v.step(r) }
		}, func() {})
	}
}

func (v *vm) announce(g view.Group) {
	for _, peer := range v.w.vms {
		if peer != v {
			v.w.send(v.node, peer.node, v.w.delay(), func() { peer.step(failover.GroupLearned{Group: g}) })
		}
	}
}

func (v *vm) record(e failover.Entry) {
	v.w.logf("%s %s term=%d server=%s%s", v.name, e.Step, e.Term, e.Server, discardedNote(e))
	v.w.reportStep(StepEvent{Op: "promotion", Step: string(e.Step), Node: v.name, Server: string(e.Server)})
}

func discardedNote(e failover.Entry) string {
	if len(e.Discarded) == 0 {
		return ""
	}
	return fmt.Sprintf(" discarded=%d", len(e.Discarded))
}

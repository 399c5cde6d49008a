package scenario

import (
	"time"

	"endivemoor.example/endivemoor/drain"
	"endivemoor.example/endivemoor/failover"
	core "endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/target"
)

// pauseDuration is longer than a lease.
const pauseDuration = 7 * time.Second

// fault is injected at a step. inject returns a function that reports whether the fault took
// effect.
type fault struct {
	name   string
	inject func(w *World, s StepEvent) (tookEffect func() bool)
}

// counted returns a fault whose effects the world counts.
func counted(name, effect string, inject func(w *World, s StepEvent)) fault {
	return fault{name, func(w *World, s StepEvent) func() bool {
		before := w.effects[effect]
		inject(w, s)
		return func() bool { return w.effects[effect] > before }
	}}
}

// faults are the faults that the users' requirements name.
var faults = []fault{
	counted("cut-from-peers", effectCut, func(w *World, s StepEvent) { w.cutFrom(faultTarget(w, s), "peers") }),
	counted("cut-from-callers", effectCut, func(w *World, s StepEvent) { w.cutFrom(faultTarget(w, s), "callers") }),
	counted("crash", effectKill, func(w *World, s StepEvent) { w.Kill(faultTarget(w, s)) }),
	counted("freeze", effectPause, func(w *World, s StepEvent) { w.pauseFor(faultTarget(w, s)) }),
	counted("replicas-behind", effectLag, replicasBehind),
	counted("proxy-killed", effectKill, func(w *World, s StepEvent) { w.Kill(s.Node) }),
	counted("proxy-paused", effectPause, func(w *World, s StepEvent) { w.pauseFor(s.Node) }),
	counted("zone-cut", effectCut, func(w *World, s StepEvent) { w.cutZone(w.vm(s.Node).zone) }),
	counted("store-down", effectDown, func(w *World, _ StepEvent) { w.store.down = true }),
	counted("store-slow", effectSlow, func(w *World, _ StepEvent) { w.store.slow = 2 * time.Second }),
	counted("store-loses", effectLost, func(w *World, _ StepEvent) { w.store.loseAnswers += 2 }),
	counted("answers-late", effectLate, func(w *World, s StepEvent) { w.net.late[faultTarget(w, s)] = true }),
	counted("answers-twice", effectDuplicate, func(w *World, s StepEvent) { w.net.duplicate[faultTarget(w, s)] = true }),
	counted("connection-lost", effectReset, connectionLost),
	counted("operators-race", effectRace, operatorsRace),
	// The copy has the group as it was created, and no lease or reservation.
	counted("store-restored", effectRestored, func(w *World, _ StepEvent) { w.store.restore(startOfTime) }),
}

// faultTarget returns the server that a step concerns, or else the primary.
func faultTarget(w *World, s StepEvent) string {
	if s.Server != "" {
		return s.Server
	}
	for _, v := range w.vms {
		if v.group != nil {
			return string(v.group.Primary)
		}
	}
	return "s1"
}

func replicasBehind(w *World, _ StepEvent) {
	for _, s := range w.servers {
		s.lag = 30 * time.Second
	}
}

// connectionLost breaks the server's connections after a request that is sent now has taken effect
// and before its answer arrives.
func connectionLost(w *World, s StepEvent) {
	name := faultTarget(w, s)
	w.at(w.now.Add(minOneWayDelay*8/5), func() { w.Reset(name) })
}

// operatorsRace makes operators order different changes of primary at the same time.
func operatorsRace(w *World, _ StepEvent) {
	w.effects[effectRace]++
	w.at(w.now, func() {
		for i, v := range w.vms {
			if v.up && !v.paused {
				v.step(failover.HandoverRequested{Server: target.ID([]string{"s1", "s2", "s3"}[i])})
			}
		}
	})
}

func (w *World) pauseFor(name string) {
	w.Pause(name)
	w.at(w.now.Add(pauseDuration), func() { w.Resume(name) })
}

// cutZone cuts everything in one availability zone off from the other zones.
func (w *World) cutZone(zone string) {
	inside := map[string]bool{}
	for _, v := range w.vms {
		inside[v.name] = v.zone == zone
	}
	for _, s := range w.servers {
		inside[s.name] = s.zone == zone
	}
	for name, in := range inside {
		if in {
			w.Isolate(name, func(other string) bool { return !inside[other] })
		}
	}
}

// operationCase is an operation with the steps at which faults are injected.
type operationCase struct {
	name    string
	eventOp string // Op of the events of its steps
	steps   []string
	run     func(w *World)
}

func requestSteps(skip ...core.Step) []string {
	var names []string
	for _, s := range core.Steps {
		skipped := false
		for _, k := range skip {
			skipped = skipped || s == k
		}
		if !skipped {
			names = append(names, s.String())
		}
	}
	return names
}

func steps(list ...failover.Step) []string {
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = string(s)
	}
	return names
}

var operationCases = []operationCase{
	{"read", "read", requestSteps(core.StepCommitSent, core.StepCommitted), func(w *World) {
		w.start("alice", "a", request{op: "setup", row: "alice"})
		w.Advance(200 * time.Millisecond)
		w.start("alice", "a", request{op: "read", access: accessRead, row: "alice"})
	}},
	{"write", "write", requestSteps(), func(w *World) {
		w.start("alice", "a", request{op: "write", row: "alice"})
		w.Advance(requestDeadline + callerGrace)
		w.start("alice", "b", request{op: "read", access: accessRead, row: "alice"})
	}},
	{"transaction", "transaction", requestSteps(), func(w *World) {
		w.start("alice", "b", request{op: "transaction", row: "alice", statements: 4})
		w.Advance(requestDeadline + callerGrace)
		w.start("alice", "c", request{op: "read", access: accessRead, row: "alice"})
	}},
	{"retry", "purchase", requestSteps(), func(w *World) {
		w.start("alice", "a", request{op: "purchase", row: "alice", key: "k7"})
		w.Advance(300 * time.Millisecond)
		w.start("alice", "b", request{op: "again", row: "alice", key: "k7"})
		w.Advance(requestDeadline + callerGrace)
		w.start("alice", "c", request{op: "again", row: "alice", key: "k7"})
	}},
	{"roaming", "roam", requestSteps(core.StepCommitSent, core.StepCommitted), func(w *World) {
		w.start("alice", "a", request{op: "setup", row: "alice", key: "k7"})
		w.Advance(300 * time.Millisecond)
		w.caller("alice").token = ""
		w.start("alice", "c", request{op: "roam", access: accessRead, row: "alice"})
	}},
	{"promotion", "promotion", steps(failover.StepSuspected, failover.StepStarted, failover.StepFenced,
		failover.StepPromoted, failover.StepPublished, failover.StepFollowing), func(w *World) {
		w.start("alice", "a", request{op: "setup", row: "alice", key: "k7"})
		w.Advance(50 * time.Millisecond)
		w.Kill("s1")
		w.Advance(300 * time.Millisecond)
		w.start("alice", "b", request{op: "purchase", row: "alice", key: "k8"})
	}},
	{"drain-target", "promotion", steps(failover.StepStarted, failover.StepHandover, failover.StepFenced,
		failover.StepPromoted, failover.StepPublished, failover.StepFollowing), func(w *World) {
		w.start("alice", "a", request{op: "setup", row: "alice", key: "k7"})
		w.Relieve("s1")
		w.Advance(20 * time.Millisecond)
		w.start("alice", "b", request{op: "purchase", row: "alice", key: "k8"})
	}},
	{"shutdown", "shutdown", []string{string(drain.Announce), string(drain.RefuseNew), string(drain.Finish)}, func(w *World) {
		w.start("alice", "a", request{op: "transaction", row: "alice", statements: 900})
		w.Advance(20 * time.Millisecond)
		w.vm("a").proxy.shutdown()
	}},
	{"start", "start", []string{stepBooted, stepLearned, stepLeased}, func(w *World) {
		w.Kill("a")
		w.Advance(100 * time.Millisecond)
		w.vm("a").boot()
		w.Advance(time.Second)
		w.start("alice", "a", request{op: "purchase", row: "alice", key: "k7"})
	}},
}

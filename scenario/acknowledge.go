package scenario

import (
	"endivemoor.example/endivemoor/ack"
	core "endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/timeline"
)

func (a *attempt) committed(pos timeline.Position) {
	v := a.p.v
	a.write = ack.Write{
		Primary: a.server, Position: pos, Committed: v.w.now,
		Deadline: a.c.deadline, Durability: a.c.durability,
	}
	a.proof = ack.NewEvidence(v.group)
	for id, e := range v.reports {
		if id != a.server {
			a.proof.Observe(ack.Report{Asked: e.asked, Answered: e.asked, Status: e.status})
		}
	}
	a.passThen(core.StepCommitted, a.acknowledge)
}

// acknowledge evaluates the gate and, while the gate waits, polls the replicas.
func (a *attempt) acknowledge() {
	if a.decide() != ack.Wait {
		return
	}
	a.queryReplicas()
	n := a.number
	a.p.after(replicaPollInterval, func() {
		if a.isCurrent(n) && a.m.Step() == core.StepCommitted {
			a.acknowledge()
		}
	})
}

// decide evaluates the gate and acts on its decision.
func (a *attempt) decide() ack.Result {
	v := a.p.v
	a.proof.SetGroup(v.group)
	a.proof.Grant(v.permission)
	d := a.p.gate.Decide(a.write, a.proof, v.w.now)
	switch d.Result {
	case ack.Ack:
		a.c.ackWait = v.w.now.Sub(a.write.Committed)
		a.passThen(core.StepAcknowledged, func() { a.replied(0) })
	case ack.Unknown:
		a.fail(core.FailureUnacknowledged)
	}
	return d.Result
}

func (a *attempt) queryReplicas() {
	v := a.p.v
	asked := v.w.now
	n := a.number
	for _, s := range v.w.servers {
		if s.id == a.server && v.group.Primary == a.server {
			continue
		}
		v.w.call(v.node, s.node, func() func() {
			st := s.status()
			return func() {
				a.proof.Observe(ack.Report{Asked: asked, Answered: v.w.now, Status: st})
				if a.isCurrent(n) && a.m.Step() == core.StepCommitted {
					a.decide()
				}
			}
		}, func() {})
	}
}

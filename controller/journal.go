package controller

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/explain"
	"endivemoor.example/endivemoor/failover"
)

// Journal records the fleet's own acts: in the log, for explain, and, for acts
// that change a group, in the audit trail. It implements Recorder.
type Journal struct {
	// VM names this VM in the trail, and Incarnation this run of its daemon.
	VM, Incarnation string
	Trail           *auditlog.Recorder
	Promotions      *explain.Ring
	Log             *zap.Logger
}

// act is one recorded step with its evidence, as explain shows it.
type act struct {
	At    time.Time      `json:"at"`
	Entry failover.Entry `json:"entry"`
}

// trailed are the steps that change a group and so belong into the trail.
var trailed = map[failover.Step]audit.Action{
	failover.StepFenced:    audit.GroupFenced,
	failover.StepPromoted:  audit.GroupPromoted,
	failover.StepFollowing: audit.GroupDiscarded,
}

// RecordAct implements Recorder.
func (j *Journal) RecordAct(e failover.Entry) {
	now := time.Now()
	j.Log.Info("group_"+string(e.Step),
		zap.String("group", e.Group),
		zap.Uint64("term", uint64(e.Term)),
		zap.String("server", string(e.Server)),
		zap.String("reason", e.Reason))
	j.keepForExplain(e, now)
	action, ok := trailed[e.Step]
	if !ok || (action == audit.GroupDiscarded && len(e.Discarded) == 0) {
		return
	}
	if err := j.Trail.Record(j.pending(e, action, now)); err != nil {
		j.Log.Error("audit_act_lost", zap.String("group", e.Group), zap.Error(err))
	}
}

// pending returns the act under an id that no other act has: a term belongs to
// one attempt of one VM.
func (j *Journal) pending(e failover.Entry, action audit.Action, now time.Time) auditlog.Pending {
	id := fmt.Sprintf("%s/%s/%d/%s/%s", j.Incarnation, e.Group, e.Term, e.Step, e.Server)
	to := fmt.Sprintf("term=%d server=%s", e.Term, e.Server)
	return auditlog.Act(id, now, j.VM, action, e.Reason, e.Group, evidenceText(e), to)
}

// evidenceText is the evidence as it was, or what was discarded, as JSON; the
// trail clips it.
func evidenceText(e failover.Entry) string {
	var of any = e.Evidence
	if len(e.Discarded) > 0 {
		of = e.Discarded
	}
	raw, err := json.Marshal(of)
	if err != nil {
		return ""
	}
	return string(raw)
}

// keepForExplain adds the step to the acts of its group.
func (j *Journal) keepForExplain(e failover.Entry, now time.Time) {
	const keep = 64
	var acts []act
	if before, ok := j.Promotions.Get(e.Group); ok {
		acts = before.([]act)
	}
	acts = append(append([]act{}, acts...), act{At: now, Entry: e})
	j.Promotions.Add(e.Group, acts[max(0, len(acts)-keep):])
}

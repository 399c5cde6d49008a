package controller

import (
	"fmt"
	"strings"
	"sync"
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

	mu sync.Mutex
	// started is the start of each group's newest attempt.
	started map[string]failover.Entry
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
	e.Reason = j.why(e)
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

// evidenceText is the evidence as it was, or what was discarded, in one line
// for an auditor. The trail clips it; explain holds it whole.
func evidenceText(e failover.Entry) string {
	var parts []string
	for _, x := range e.Discarded {
		parts = append(parts, fmt.Sprintf("term=%d position=%d %q", x.Position.Term, x.Position.LSN, x.Statement))
	}
	if len(parts) > 0 {
		return "discarded: " + strings.Join(parts, "; ")
	}
	for _, x := range e.Evidence {
		parts = append(parts, observationText(x))
	}
	return strings.Join(parts, "; ")
}

func observationText(x failover.Evidence) string {
	heard := "answered " + x.Age.Round(time.Millisecond).String() + " ago"
	if x.Silent {
		heard = "silent, last " + heard
	}
	return fmt.Sprintf("%s (%s) saw %s: %s term=%d position=%d promised=%d, %s",
		x.VM, x.Zone, x.Server, x.Status.Role, x.Status.Term, x.Status.LSN, x.Status.Promised, heard)
}

// why returns the entry's reason; a step of an attempt that has none gets that
// of the attempt's start.
func (j *Journal) why(e failover.Entry) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Step == failover.StepStarted {
		if j.started == nil {
			j.started = map[string]failover.Entry{}
		}
		j.started[e.Group] = e
	}
	start, ok := j.started[e.Group]
	if e.Reason != "" || !ok || start.Term != e.Term {
		return e.Reason
	}
	return start.Reason
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

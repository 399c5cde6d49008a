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

// Journal records the fleet's own acts in the log and for explain, and acts that change a group
// also in the audit trail. It implements Recorder.
type Journal struct {
	// VM is the name of this VM in the trail, and Incarnation identifies this run of its daemon.
	VM, Incarnation string
	Trail           *auditlog.Recorder
	Promotions      *explain.Ring
	Log             *zap.Logger

	mu sync.Mutex
	// started holds the entry that started each group's newest promotion attempt.
	started map[string]failover.Entry
}

// step is one recorded step with its evidence, as explain shows it.
type step struct {
	At    time.Time      `json:"at"`
	Entry failover.Entry `json:"entry"`
}

// auditedSteps maps the steps that change a group to the actions under which the audit trail
// records them.
var auditedSteps = map[failover.Step]audit.Action{
	failover.StepFenced:    audit.GroupFenced,
	failover.StepPromoted:  audit.GroupPromoted,
	failover.StepFollowing: audit.GroupDiscarded,
}

// RecordAct implements Recorder.
func (j *Journal) RecordAct(e failover.Entry) {
	now := time.Now()
	e.Reason = j.reasonOf(e)
	j.Log.Info("group_"+string(e.Step),
		zap.String("group", e.Group),
		zap.Uint64("term", uint64(e.Term)),
		zap.String("server", string(e.Server)),
		zap.String("reason", e.Reason))
	j.addToExplain(e, now)
	action, ok := auditedSteps[e.Step]
	if !ok || (action == audit.GroupDiscarded && len(e.Discarded) == 0) {
		return
	}
	if err := j.Trail.Record(j.pendingAct(e, action, now)); err != nil {
		j.Log.Error("audit_act_lost", zap.String("group", e.Group), zap.Error(err))
	}
}

// pendingAct returns the act for the audit trail. Its ID is unique, because a term belongs to one
// attempt of one VM.
func (j *Journal) pendingAct(e failover.Entry, action audit.Action, now time.Time) auditlog.Pending {
	id := fmt.Sprintf("%s/%s/%d/%s/%s", j.Incarnation, e.Group, e.Term, e.Step, e.Server)
	to := fmt.Sprintf("term=%d server=%s", e.Term, e.Server)
	return auditlog.Act(id, now, j.VM, action, e.Reason, e.Group, evidenceText(e), to)
}

// evidenceText formats the discarded entries, or else the evidence at the time of the step, in one
// line. The trail truncates the line; explain returns all of it.
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
	lastReply := "answered " + x.Age.Round(time.Millisecond).String() + " ago"
	if x.Silent {
		lastReply = "silent, last " + lastReply
	}
	return fmt.Sprintf("%s (%s) saw %s: %s term=%d position=%d promised=%d, %s",
		x.VM, x.Zone, x.Server, x.Status.Role, x.Status.Term, x.Status.LSN, x.Status.Promised, lastReply)
}

// reasonOf returns the entry's reason. A step without a reason has that of the entry that started
// its attempt.
func (j *Journal) reasonOf(e failover.Entry) string {
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

// addToExplain adds the step to the newest steps of its group.
func (j *Journal) addToExplain(e failover.Entry, now time.Time) {
	const maxSteps = 64
	var steps []step
	if before, ok := j.Promotions.Get(e.Group); ok {
		steps = before.([]step)
	}
	steps = append(append([]step{}, steps...), step{At: now, Entry: e})
	j.Promotions.Add(e.Group, steps[max(0, len(steps)-maxSteps):])
}

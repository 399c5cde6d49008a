package promoter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// resume ends the pauses of an attempt. A command to a target without a free connection is
// repeated: until that target receives, the new primary can confirm nothing. It is false if this VM does
// not hold the attempt any more: the pauses may be another's by now, and the record is left to expire.
//
// Failure guarded against: the VM is suspended, another one begins an attempt and pauses the targets, and
// this one resumes them when it wakes.
func (a *attempt) resume(ctx context.Context, except, replaced target.ID) bool {
	for _, id := range a.paused {
		if id == except {
			continue
		}
		if !a.extend(ctx) {
			return false
		}
		if _, err := a.sendWithRetry(ctx, id, lane.ResumeCommand); err != nil {
			a.p.cfg.Log.Warn("resume-unanswered", zap.String("target", string(id)), zap.Error(err))
			a.unanswered = true
			a.p.startFollowUp(a.g.Service, id, a.term, replaced)
		}
	}
	for _, id := range a.unsure {
		a.p.startFollowUp(a.g.Service, id, a.term, replaced)
	}
	return true
}

// reply is one target's reply to a command.
type reply struct {
	id     target.ID
	status statement.Status
	err    error
}

// sendAll sends a command to several targets concurrently.
func (a *attempt) sendAll(ctx context.Context, targets []*catalog.Target, cmd lane.Command) []reply {
	return a.sendAllTo(ctx, catalog.IDs(targets), cmd)
}

// sendAllTo is sendAll for targets given by their ids.
func (a *attempt) sendAllTo(ctx context.Context, ids []target.ID, cmd lane.Command) []reply {
	return forEach(ids, func(id target.ID) reply {
		s, err := a.sendWithRetry(ctx, id, cmd)
		return reply{id: id, status: s, err: err}
	})
}

// forEach calls do for several targets concurrently.
func forEach(ids []target.ID, do func(id target.ID) reply) []reply {
	out := make([]reply, len(ids))
	var wait sync.WaitGroup
	for i, id := range ids {
		wait.Add(1)
		go func() {
			defer wait.Done()
			out[i] = do(id)
		}()
	}
	wait.Wait()
	return out
}

// sendWithRetry repeats a command to a target that has no free slot.
func (a *attempt) sendWithRetry(ctx context.Context, id target.ID, cmd lane.Command) (statement.Status, error) {
	for try := 0; ; try++ {
		s, err := a.g.SendCommand(ctx, id, cmd, commandTimeout)
		if err == nil || !lane.Answered(err) || try == maxBusyRetries {
			return s, err
		}
		time.Sleep(pollInterval)
	}
}

// maxBusyRetries bounds the repetitions of a command to a target that has no free slot.
const maxBusyRetries = 6

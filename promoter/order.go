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

// resume ends the pauses of an attempt. A target that has no connection free is
// asked again at once: until it receives, the new primary can confirm nothing.
func (a *attempt) resume(ctx context.Context, except target.ID) {
	for _, id := range a.paused {
		if id == except {
			continue
		}
		if _, err := a.orderPatiently(ctx, id, lane.ResumeCommand); err != nil {
			a.p.cfg.Log.Warn("resume-unanswered", zap.String("target", string(id)), zap.Error(err))
			a.p.chase(a.g.Service, id, a.term)
		}
	}
}

// told is one target's answer to an order.
type told struct {
	id     target.ID
	status statement.Status
	err    error
}

// all sends an order to several targets at once.
func (a *attempt) all(ctx context.Context, targets []*catalog.Target, ask lane.Command) []told {
	return a.allOf(ctx, idsOf(targets), ask)
}

// allOf is all for targets by their ids.
func (a *attempt) allOf(ctx context.Context, ids []target.ID, ask lane.Command) []told {
	return each(ids, func(id target.ID) told {
		s, err := a.orderPatiently(ctx, id, ask)
		return told{id: id, status: s, err: err}
	})
}

// each does the same with several targets at once.
func each(ids []target.ID, do func(id target.ID) told) []told {
	out := make([]told, len(ids))
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

func idsOf(targets []*catalog.Target) []target.ID {
	out := make([]target.ID, len(targets))
	for i, t := range targets {
		out[i] = t.ID
	}
	return out
}

// orderPatiently repeats an order to a target that has no slot free.
func (a *attempt) orderPatiently(ctx context.Context, id target.ID, ask lane.Command) (statement.Status, error) {
	for try := 0; ; try++ {
		s, err := a.g.Order(ctx, id, ask, fenceTimeout)
		if err == nil || !lane.Answered(err) || try == maxBusy {
			return s, err
		}
		time.Sleep(pollEvery)
	}
}

// maxBusy bounds the repetitions of an order that met a full target.
const maxBusy = 6

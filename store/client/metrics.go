package client

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/store"
)

// Result is the value of a call's result label in the metric of calls.
type Result string

// Results of a call.
const (
	ResultOK          Result = "ok"
	ResultNotFound    Result = "not_found"
	ResultConflict    Result = "conflict"
	ResultUnavailable Result = "unavailable"
	ResultNoAnswer    Result = "no_answer"
	ResultTooLarge    Result = "too_large"
	ResultOther       Result = "other"
)

func registerCalls(r prometheus.Registerer) (*prometheus.CounterVec, error) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_platform_calls_total",
		Help: "Calls to the platform's object API, by purpose and result.",
	}, []string{"purpose", "result"})
	if r == nil {
		return calls, nil
	}
	err := r.Register(calls)
	var already prometheus.AlreadyRegisteredError
	if errors.As(err, &already) {
		if present, ok := already.ExistingCollector.(*prometheus.CounterVec); ok {
			return present, nil
		}
	}
	return calls, errors.Wrap(err, "register calls metric")
}

// count counts a call with its error and returns the error.
func (c *Client) count(p store.Purpose, err error) error {
	c.calls.WithLabelValues(string(p), string(resultOf(err))).Inc()
	return err
}

func resultOf(err error) Result {
	var conflict *store.ConflictError
	var tooLarge *TooLargeError
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, store.ErrNotFound):
		return ResultNotFound
	case errors.Is(err, store.ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, store.ErrNoAnswer):
		return ResultNoAnswer
	case errors.As(err, &conflict):
		return ResultConflict
	case errors.As(err, &tooLarge):
		return ResultTooLarge
	default:
		return ResultOther
	}
}

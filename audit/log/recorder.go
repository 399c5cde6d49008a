package log

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/wait"
)

// queueLimit is the maximum number of acts waiting in memory.
const queueLimit = 4096

const (
	flushTimeout = 5 * time.Second
	retryPause   = time.Second
)

// ErrQueueFull reports that an act was not queued, because the store has been down for so long that
// the queue is full. The caller must report the act by other means.
var ErrQueueFull = errors.New("audit queue is full")

// Recorder writes the fleet's own acts, such as promotions, in the background. An act waits in
// memory while the store is down. It keeps its first ID, so that a flush whose answer was lost does
// not record it twice. Waiting acts are lost when the process ends; Waiting and the metric
// endivemoor_audit_waiting report their number.
type Recorder struct {
	log   *Log
	zap   *zap.Logger
	wake  chan struct{}
	pause time.Duration

	mu    sync.Mutex
	queue []Pending
}

// NewRecorder returns a recorder that writes to log. The caller must start Run.
func NewRecorder(log *Log, z *zap.Logger, r prometheus.Registerer) (*Recorder, error) {
	rec := &Recorder{log: log, zap: z, wake: make(chan struct{}, 1), pause: retryPause}
	if r == nil {
		return rec, nil
	}
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "endivemoor_audit_waiting",
		Help: "Acts of this daemon that wait in memory to be written to the audit trail.",
	}, func() float64 { return float64(rec.Waiting()) })
	return rec, errors.Wrap(r.Register(gauge), "register audit metric")
}

// Record queues an act without waiting for the store. The ID must be unique to the act. Since may
// be 0 if no other process records the same ID.
func (r *Recorder) Record(act Pending) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= queueLimit {
		r.zap.Error("audit_act_refused", zap.String("action", string(act.Action)), zap.String("subject", act.Subject), zap.String("to", act.To))
		return ErrQueueFull
	}
	r.queue = append(r.queue, act)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// Waiting returns the number of acts that are not confirmed to be in the trail.
func (r *Recorder) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// Run flushes the queue until ctx ends, and then once more within timeout.
func (r *Recorder) Run(ctx context.Context, timeout time.Duration) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			r.flush(last)
			return
		}
		for r.Waiting() > 0 && !r.flush(ctx) {
			if !wait.For(ctx, r.pause) {
				break
			}
		}
	}
}

// flush writes the queued acts and reports whether it succeeded. An act is removed from the queue
// only when it is certain that the trail contains it.
func (r *Recorder) flush(ctx context.Context) bool {
	r.mu.Lock()
	acts := append([]Pending(nil), r.queue...)
	r.mu.Unlock()
	if len(acts) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := r.setSince(ctx, acts); err != nil {
		r.warn(len(acts), err)
		return false
	}
	if err := r.log.Append(ctx, acts...); err != nil {
		r.warn(len(acts), err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = r.queue[len(acts):]
	return true
}

// setSince sets, once for each new act, the first segment that may contain it. If this flush writes
// the act and the answer is lost, a later flush must search from there.
func (r *Recorder) setSince(ctx context.Context, acts []Pending) error {
	last := 0
	for i := range acts {
		if acts[i].Since != 0 {
			continue
		}
		if last == 0 {
			n, err := r.log.Last(ctx)
			if err != nil {
				return err
			}
			last = n
		}
		acts[i].Since = last
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	copy(r.queue, acts)
	return nil
}

func (r *Recorder) warn(waiting int, err error) {
	r.zap.Warn("audit_waiting", zap.Int("acts", waiting), zap.Error(err))
}

// Act returns a pending act of the fleet itself.
func Act(id string, at time.Time, vm string, action audit.Action, reason, subject, from, to string) Pending {
	return Pending{Draft: audit.Draft{ID: id, Time: at, Actor: vm, Action: action, Reason: reason, Subject: subject, From: from, To: to}}
}

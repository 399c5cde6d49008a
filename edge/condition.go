package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/condition"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/retry"
)

const (
	// conditionWriteInterval is the least time between two writes of the condition: each makes all
	// VMs select gateways anew.
	conditionWriteInterval = 10 * time.Second
	// conditionSpread is the time, for each VM of the fleet, over which writes are spread.
	//
	// Failure guarded against: something makes all VMs of a large fleet slow at once, and their writes
	// exceed the store's rate.
	conditionSpread = 200 * time.Millisecond
)

// conditionBackoff is the pause before the entry is read again.
var conditionBackoff = retry.Backoff{Base: time.Second, Max: conditionWriteInterval}

// ownCondition samples this VM's condition, and writes it into the VM's own entry while the fleet
// uses gateways.
type ownCondition struct {
	edge *Edge
	// The sampler alone uses these.
	monitor   condition.Monitor
	armedAt   clock.Time
	interval  time.Duration
	config    *catalog.Config
	objective time.Duration

	mu        sync.Mutex
	is        catalog.Condition
	writing   bool
	writtenAt clock.Time // when the last write ended; 0 if there was none
}

func newOwnCondition(e *Edge) *ownCondition {
	o := &ownCondition{edge: e}
	e.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "endivemoor_vm_condition", Help: "What this VM can carry: 0 normal, 1 yielding."},
		func() float64 {
			if o.current() == catalog.Yielding {
				return 1
			}
			return 0
		}))
	return o
}

// conditionName is the name of a condition in logs and decisions.
func conditionName(c catalog.Condition) string {
	if c == catalog.Normal {
		return "normal"
	}
	return string(c)
}

func (o *ownCondition) current() catalog.Condition {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.is
}

// arm restarts a ticker, whose next tick is the next sample.
//
// Failure guarded against: the VM is suspended, and a ticker that keeps to its former times seems
// late at each tick, because the clock counts the suspension and the ticker does not.
func (o *ownCondition) arm(tick *time.Ticker, interval time.Duration) {
	tick.Reset(interval)
	o.armedAt, o.interval = o.edge.clk.Now(), interval
}

// sample takes a sample at a tick, and starts to write the entry if it says something else.
func (o *ownCondition) sample(ctx context.Context) {
	now, c := o.edge.clk.Now(), o.edge.catalog.Load()
	is := catalog.Normal
	if o.edge.router.UsesGateways() && !o.edge.features.Without(feature.VMCondition) {
		is = o.monitor.Step(max(now.Sub(o.armedAt)-o.interval, 0), o.shortestObjective(c.Config), now)
	} else {
		o.monitor = condition.Monitor{}
	}
	o.record(is)
	if o.claimWrite(c, now) {
		go o.write(ctx)
	}
}

// shortestObjective returns the shortest objective of the routes; 0 if there is none.
func (o *ownCondition) shortestObjective(c *catalog.Config) time.Duration {
	if c == o.config {
		return o.objective
	}
	o.config, o.objective = c, 0
	for _, r := range c.Routes {
		if r.Objective > 0 && (o.objective == 0 || r.Objective < o.objective) {
			o.objective = r.Objective
		}
	}
	return o.objective
}

func (o *ownCondition) record(is catalog.Condition) {
	o.mu.Lock()
	was := o.is
	o.is = is
	o.mu.Unlock()
	if was == is {
		return
	}
	seen := o.monitor.Last()
	o.edge.decisions.Count(decisions.Condition, o.edge.settings.Node, conditionName(is), 1)
	o.edge.log.Info("condition", zap.String("is", conditionName(is)), zap.String("was", conditionName(was)),
		zap.Int("timers", seen.Timers), zap.Int("late", seen.Late), zap.Duration("latest", seen.MaxLateness),
		zap.Duration("objective", o.objective))
}

// claimWrite reports whether the entry must be written now. The fleet's list is what it is compared
// with, so that a write without an answer, or a restore of the store, needs no other care.
func (o *ownCondition) claimWrite(c *catalog.Catalog, now clock.Time) bool {
	if !o.outdated(c) || o.edge.shutdown.leaving.Load() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writing || (o.writtenAt != 0 && now.Sub(o.writtenAt) < conditionWriteInterval) {
		return false
	}
	o.writing = true
	return true
}

// outdated reports whether the list has this process's entry with another condition.
func (o *ownCondition) outdated(c *catalog.Catalog) bool {
	own, known := c.VM(o.edge.settings.Node)
	return known && own.Incarnation == o.edge.incarnation && own.Condition != o.current()
}

// write writes the entry, after a random delay, if it is still outdated. Only what cannot have been
// written is tried again. A failure is no sign of an outage: other calls need not be held back.
func (o *ownCondition) write(ctx context.Context) {
	o.tryWrite(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing, o.writtenAt = false, o.edge.clk.Now()
}

func (o *ownCondition) tryWrite(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wait.For(ctx, time.Duration(rnd.Int64N(int64(len(o.edge.catalog.Load().VMs)+1)*int64(conditionSpread))))
	for attempt := 1; o.outdated(o.edge.catalog.Load()) && o.edge.outage.admit(ctx); attempt++ {
		sent, err := o.edge.fleetEntry.update(ctx)
		switch {
		case err == nil:
			o.edge.outage.record(nil)
			return
		case errors.Is(err, errLeaving):
			return
		}
		o.edge.log.Warn("entry-unwritten", zap.Error(err))
		if sent {
			return
		}
		wait.For(ctx, conditionBackoff.Delay(attempt, rnd))
	}
}

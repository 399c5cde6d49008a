package lane

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
)

// weights are the workspaces' weights in their shares of a target: their limits; a workspace without
// a limit has that of the largest, and all are equal if there are no limits.
type weights struct {
	limits    map[string]float64
	unlimited float64
}

// newWeights returns the weights of a configuration's workspaces; c may be nil.
func newWeights(c *catalog.Config) *weights {
	out := &weights{limits: make(map[string]float64), unlimited: 1}
	if c == nil {
		return out
	}
	for name, w := range c.Workspaces {
		if w.Limited && w.Rate > 0 {
			out.limits[name] = w.Rate
			out.unlimited = max(out.unlimited, w.Rate)
		}
	}
	return out
}

// of returns a workspace's weight.
func (w *weights) of(workspace string) float64 {
	if w == nil {
		return 1
	}
	if limit, ok := w.limits[workspace]; ok {
		return limit
	}
	return w.unlimited
}

// shares orders workspaces by what they have used in proportion to their weights, by start-time fair
// queueing: a workspace that uses less than its share is served at once, whatever the others ask
// for, and a share that is not used goes to the others and is not owed later.
type shares struct {
	weights *weights
	// off is set if workspaces have no shares.
	off bool
	// used is the work of each workspace by its weight, counted from the least of those served.
	used map[string]float64
	// floor is what the last workspace that was served had used before.
	floor float64
	// resting is the number of each workspace's connections that rest in transactions. Each counts
	// as a statement that runs.
	resting map[string]int
}

// maxUsedEntries is the number of entries above which those without effect are deleted.
const maxUsedEntries = 256

// usage returns what a workspace has used. A statement takes the given time on average.
func (s *shares) usage(workspace string, statement time.Duration) float64 {
	used := max(s.used[workspace], s.floor)
	return used + float64(s.resting[workspace])*statement.Seconds()/s.weights.of(workspace)
}

// charge records that a workspace's statement has got a slot.
func (s *shares) charge(workspace string, work time.Duration) {
	if s.used == nil {
		s.used = make(map[string]float64)
	}
	start := max(s.used[workspace], s.floor)
	s.floor = start
	s.used[workspace] = start + work.Seconds()/s.weights.of(workspace)
	if len(s.used) <= maxUsedEntries {
		return
	}
	for name, used := range s.used {
		if used <= s.floor {
			delete(s.used, name)
		}
	}
}

// clear forgets what was used: while all are served in time, nobody has used the share of another.
func (s *shares) clear() {
	clear(s.used)
	s.floor = 0
}

// rest records that a workspace's connection begins or ends to rest in a transaction.
func (s *shares) rest(workspace string, n int) {
	if s.resting == nil {
		s.resting = make(map[string]int)
	}
	if s.resting[workspace] += n; s.resting[workspace] <= 0 {
		delete(s.resting, workspace)
	}
}

// servesByShare reports whether workspaces are served by their shares: while not all requests can be in
// time, at a target whose connections serve one workspace each.
func (q *queue) servesByShare() bool {
	return !q.shares.off && q.pressed() && q.inTime.Len() > 0 && q.inTime.all[0].opts.Workspace != ""
}

// bestByShare returns the first request in time, of the workspace that has used least, for which fits
// returns true; nil if there is none.
func (q *queue) bestByShare(fits func(*waiter) bool) *waiter {
	precedes := func(a, b *waiter) bool { return a.before(b, q.inTime.by) }
	if q.longestFirst() {
		precedes = func(a, b *waiter) bool { return a.arrived.Before(b.arrived) }
	}
	var best *waiter
	var least float64
	for _, w := range q.inTime.all {
		used := q.shares.usage(w.opts.Workspace, q.times.average.mean)
		if best != nil && (used > least || used == least && !precedes(w, best)) || !fits(w) {
			continue
		}
		best, least = w, used
	}
	return best
}

// aheadByShare is ahead while workspaces are served by their shares: those ahead are of the request's
// own workspace, which gets its share of the slots.
func (q *queue) aheadByShare(w *waiter) (n int, work time.Duration) {
	weight := q.shares.weights.of(w.opts.Workspace)
	weights := weight
	for name := range q.inTime.workspaces {
		if name != w.opts.Workspace {
			weights += q.shares.weights.of(name)
		}
	}
	for _, other := range q.inTime.all {
		if other.opts.Workspace == w.opts.Workspace && !w.before(other, q.inTime.by) {
			n++
			work += other.work
		}
	}
	owed := (q.shares.usage(w.opts.Workspace, q.times.average.mean) - q.shares.floor) * weight
	work += time.Duration(owed * float64(time.Second))
	return min(int(float64(n)*weights/weight), q.inTime.Len()), min(time.Duration(float64(work)*weights/weight), q.inTime.work)
}

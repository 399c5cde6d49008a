package admission

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
)

// waiting is a queued request.
type waiting struct {
	ticket   Ticket
	arrived  clock.Time
	deadline clock.Time
}

type lane struct {
	kind  *profile.Kind
	items []waiting
}

func (l *lane) view() Lane {
	head := l.items[0]
	return Lane{Kind: l.kind, Len: len(l.items), HeadArrived: head.arrived, HeadDeadline: head.deadline}
}

// Queue allocates one target's slots to requests. It is not safe for concurrent use.
type Queue struct {
	cfg   Config
	rnd   *rand.Rand
	slots Slots
	drain drainRate
	lanes []*lane
	// spare holds empty lanes for reuse.
	spare  []*lane
	queued int
	inUse  int
	next   Ticket
}

// NewQueue returns a Queue with all slots free.
func NewQueue(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:   cfg,
		rnd:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Slots))),
		slots: newSlots(cfg.Slots, cfg.FixedSlots),
	}
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// InUse returns the number of slots in use.
func (q *Queue) InUse() int { return q.inUse }

// Limit returns the current number of slots.
func (q *Queue) Limit() int { return q.slots.Limit() }

// SetFleetSize sets the number of live VMs that use the target, at least 1. Before the first call,
// the Queue assumes that no other VM uses the target.
func (q *Queue) SetFleetSize(vms int) { q.slots.share(vms) }

// Offer submits a new request of kind k, whose caller waits until deadline.
func (q *Queue) Offer(now clock.Time, k *profile.Kind, deadline clock.Time) Offered {
	q.next++
	ticket := q.next
	if q.queued == 0 && q.inUse < q.slots.Limit() {
		q.take(now)
		return Offered{Ticket: ticket, Granted: true}
	}
	if q.hopeless(now, k, deadline) {
		return Offered{Ticket: ticket, Refused: q.refuse(ticket, CauseHopeless)}
	}
	var evicted Refusal
	if q.queued >= q.cfg.MaxQueued {
		evicted = q.evictBelow(k)
		if evicted.Cause == CauseNone {
			return Offered{Ticket: ticket, Refused: q.refuse(ticket, CauseFull)}
		}
	}
	l := q.laneOf(k)
	l.items = append(l.items, waiting{ticket: ticket, arrived: now, deadline: deadline})
	q.queued++
	return Offered{Ticket: ticket, Evicted: evicted}
}

// Done releases the slot of a granted request of kind k that took latency. It appends the requests
// that get a slot now to granted and returns the result. Call Expire first, with the same now, so
// that no slot is wasted on a request past its deadline.
func (q *Queue) Done(now clock.Time, k *profile.Kind, latency time.Duration, granted []Ticket) []Ticket {
	q.inUse--
	q.drain.done(now, q.queued > 0)
	q.slots.observe(k, latency, q.queued > 0)
	return q.fill(now, granted)
}

// Cancel removes a waiting request, for example after its caller disconnected. It reports whether the
// request was still waiting.
func (q *Queue) Cancel(t Ticket) bool {
	for _, l := range q.lanes {
		for i := range l.items {
			if l.items[i].ticket == t {
				q.remove(l, i)
				return true
			}
		}
	}
	return false
}

// Expire refuses the waiting requests whose deadline has passed and appends the refusals to out.
func (q *Queue) Expire(now clock.Time, out []Refusal) []Refusal {
	for n := len(q.lanes) - 1; n >= 0; n-- {
		l := q.lanes[n]
		for i := len(l.items) - 1; i >= 0; i-- {
			if l.items[i].deadline.After(now) {
				continue
			}
			t := l.items[i].ticket
			q.remove(l, i)
			out = append(out, q.refuse(t, CauseExpired))
		}
	}
	return out
}

// RetryAfter returns the time after which a request that is refused now should be retried.
func (q *Queue) RetryAfter() time.Duration {
	return q.drain.retryAfter(q.queued+1, q.rnd)
}

// take marks a free slot as in use.
func (q *Queue) take(now clock.Time) {
	q.inUse++
	if q.inUse == 1 {
		q.drain.start(now)
	}
}

// fill allocates free slots to waiting requests, in the policy's order.
func (q *Queue) fill(now clock.Time, granted []Ticket) []Ticket {
	for q.queued > 0 && q.inUse < q.slots.Limit() {
		l := q.best(now)
		granted = append(granted, l.items[0].ticket)
		q.remove(l, 0)
		q.take(now)
	}
	return granted
}

func (q *Queue) best(now clock.Time) *lane {
	var chosen *lane
	var high float64
	var arrived clock.Time
	for _, l := range q.lanes {
		v := l.view()
		score := q.cfg.Policy.Score(&v, now)
		if chosen == nil || score > high || (score == high && v.HeadArrived < arrived) {
			chosen, high, arrived = l, score, v.HeadArrived
		}
	}
	return chosen
}

func (q *Queue) refuse(t Ticket, c Cause) Refusal {
	return Refusal{Ticket: t, Cause: c, RetryAfter: q.RetryAfter()}
}

// hopeless reports whether a request would probably miss its deadline.
func (q *Queue) hopeless(now clock.Time, k *profile.Kind, deadline clock.Time) bool {
	wait, known := q.drain.wait(q.ahead(k) + 1)
	if !known {
		return !deadline.After(now)
	}
	return now.Add(time.Duration(slack * float64(wait))).After(deadline)
}

// ahead estimates the number of waiting requests that will be served before a new one of kind k: all
// those of kinds with at least its worth, and of each lower kind a fraction equal to the ratio of the
// worths.
func (q *Queue) ahead(k *profile.Kind) int {
	worth := max(k.Worth, minWorth)
	var n float64
	for _, l := range q.lanes {
		ratio := max(l.kind.Worth, minWorth) / worth
		n += float64(len(l.items)) * min(ratio, 1)
	}
	return int(n)
}

// evictBelow refuses the newest request of the lane with the lowest worth, if that worth is lower
// than that of k. Otherwise it returns the zero Refusal.
func (q *Queue) evictBelow(k *profile.Kind) Refusal {
	var least *lane
	for _, l := range q.lanes {
		if l.kind.Worth < k.Worth && (least == nil || l.kind.Worth < least.kind.Worth) {
			least = l
		}
	}
	if least == nil {
		return Refusal{}
	}
	last := len(least.items) - 1
	t := least.items[last].ticket
	q.remove(least, last)
	return q.refuse(t, CauseEvicted)
}

func (q *Queue) laneOf(k *profile.Kind) *lane {
	for _, l := range q.lanes {
		if l.kind == k {
			return l
		}
	}
	l := q.spareLane()
	l.kind = k
	q.lanes = append(q.lanes, l)
	return l
}

func (q *Queue) spareLane() *lane {
	n := len(q.spare)
	if n == 0 {
		return &lane{}
	}
	l := q.spare[n-1]
	q.spare = q.spare[:n-1]
	return l
}

// remove removes item i from l. A lane that becomes empty moves to q.spare without its kind, so that
// the Queue keeps no reference to kinds of retired profiles.
func (q *Queue) remove(l *lane, i int) {
	l.items = append(l.items[:i], l.items[i+1:]...)
	q.queued--
	if len(l.items) > 0 {
		return
	}
	for n := range q.lanes {
		if q.lanes[n] == l {
			q.lanes = append(q.lanes[:n], q.lanes[n+1:]...)
			break
		}
	}
	l.kind = nil
	q.spare = append(q.spare, l)
}

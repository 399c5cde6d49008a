package admission

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
)

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

// Queue hands out one target's slots. It is not safe for concurrent use.
type Queue struct {
	cfg    Config
	rnd    *rand.Rand
	slots  Slots
	drain  drainRate
	lanes  []*lane
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

// Queued is the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// InUse is the number of slots taken.
func (q *Queue) InUse() int { return q.inUse }

// Limit is the present number of slots.
func (q *Queue) Limit() int { return q.slots.Limit() }

// SetFleet tells how many live VMs use the target, at least 1. Until it is told
// the Queue has the target for itself.
func (q *Queue) SetFleet(vms int) { q.slots.share(vms) }

// Offer brings a new request of kind k, whose caller waits until deadline.
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

// Done returns the slot of a granted request of kind k that took latency. The requests
// that get a slot now are appended to granted and returned. Call Expire first,
// with the same now: a slot for a request past its deadline is wasted.
func (q *Queue) Done(now clock.Time, k *profile.Kind, latency time.Duration, granted []Ticket) []Ticket {
	q.inUse--
	q.drain.done(now, q.queued > 0)
	q.slots.observe(k, latency, q.queued > 0)
	return q.fill(now, granted)
}

// Cancel takes a waiting request out, as when its caller went away. It reports
// whether the request was still waiting.
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

// Expire refuses the waiting requests whose deadline has passed, appending them
// to out.
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

// RetryAfter is when a request refused now should come back.
func (q *Queue) RetryAfter() time.Duration {
	return q.drain.retryAfter(q.queued+1, q.rnd)
}

func (q *Queue) take(now clock.Time) {
	q.inUse++
	if q.inUse == 1 {
		q.drain.start(now)
	}
}

// fill hands free slots to waiting requests, in the policy's order.
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

// ahead estimates how many waiting requests will be served before a new one of
// kind k: all of the kinds that are worth as much, and of a lesser one the part
// that the worths' ratio lets by.
func (q *Queue) ahead(k *profile.Kind) int {
	own := max(k.Worth, minWorth)
	var n float64
	for _, l := range q.lanes {
		part := max(l.kind.Worth, minWorth) / own
		n += float64(len(l.items)) * min(part, 1)
	}
	return int(n)
}

// evictBelow refuses the newest request of the least worthy lane that is worth
// less than k, if there is one.
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

// remove takes item i out of l. An empty lane is put aside: kinds of a retired
// profile leave nothing behind.
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

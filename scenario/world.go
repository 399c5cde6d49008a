package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/session"
)

// startOfTime is the start of virtual time; the core needs times above zero.
const startOfTime = clock.Time(time.Second)

// World is one run: virtual time, the network and all nodes.
type World struct {
	now    clock.Time
	queue  eventQueue
	seq    uint64
	rng    *rand.Rand
	nodes  map[string]*node
	net    network
	guards guard.Set
	trace  strings.Builder

	store   *fakeStore
	keys    *session.Keys
	gate    ack.Gate // of all proxies; nil for the default
	servers []*server
	vms     []*vm
	callers map[string]*caller
	history []*call
	inForce []inForce // configurations put in force, in order
	nextID  int
	steps   int            // number of events run so far
	effects map[string]int // how often each fault took effect

	probeLoss    float64       // fraction of probes that get no answer
	promoteDelay time.Duration // failover.Config.PromoteDelay of all VMs
	heartbeat    time.Duration // of all VMs; zero for the default

	// hook is called at each named step of the core; see OnceAtStep.
	hook func(StepEvent)
}

// StepEvent identifies a step that the core has just reached.
type StepEvent struct {
	// Op is the operation, such as "write" or "promotion".
	Op string
	// Step is the core's own name of the step.
	Step string
	// Node is the VM on which the step happened.
	Node string
	// Server is the server that the step concerns, or empty.
	Server string
}

// New returns an empty world.
func New(seed uint64, guards guard.Set) *World {
	w := &World{
		now:     startOfTime,
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		nodes:   make(map[string]*node),
		callers: make(map[string]*caller),
		guards:  guards,
		keys:    newKeys(),
		effects: make(map[string]int),
	}
	w.net = newNetwork()
	return w
}

// Now returns the virtual time.
func (w *World) Now() clock.Time { return w.now }

// OnStep sets the function that is called at every step of the core.
func (w *World) OnStep(f func(StepEvent)) { w.hook = f }

// reportStep calls the hook, if any.
func (w *World) reportStep(s StepEvent) {
	if w.hook != nil {
		w.hook(s)
	}
}

// logf adds a line to the trace, with the virtual time in milliseconds since the start.
func (w *World) logf(format string, args ...any) {
	at := w.now.Sub(startOfTime).Milliseconds()
	fmt.Fprintf(&w.trace, "%6dms ", at)
	fmt.Fprintf(&w.trace, format, args...)
	w.trace.WriteByte('\n')
}

// TakeTrace returns the trace since the last call.
func (w *World) TakeTrace() string {
	s := w.trace.String()
	w.trace.Reset()
	return s
}

func (w *World) traceTail() string {
	s := w.trace.String()
	return s[max(0, len(s)-2000):]
}

// Advance runs all events of the next d and advances virtual time by d.
func (w *World) Advance(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		w.step()
	}
	w.now = end
}

// AdvanceUntil advances virtual time until done returns true or limit has passed, and reports
// whether it is done.
func (w *World) AdvanceUntil(limit time.Duration, done func() bool) bool {
	end := w.now.Add(limit)
	for !done() {
		if w.queue.Len() == 0 || w.queue[0].at.After(end) {
			w.now = end
			return done()
		}
		w.step()
	}
	return true
}

// maxEvents bounds a run; an ordinary run has about ten thousand events. More indicates an endless
// loop of messages.
const maxEvents = 1_000_000

func (w *World) step() {
	w.steps++
	if w.steps > maxEvents {
		panic("scenario: run exceeds maxEvents; end of its trace:\n" + w.traceTail())
	}
	ev := heap.Pop(&w.queue).(*timedEvent)
	w.now = max(w.now, ev.at)
	ev.run()
}

// at schedules f at time t.
func (w *World) at(t clock.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, &timedEvent{at: t, seq: w.seq, run: f})
}

type timedEvent struct {
	at  clock.Time
	seq uint64
	run func()
}

// eventQueue orders events by time, and events of the same time by the order of scheduling.
type eventQueue []*timedEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*timedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

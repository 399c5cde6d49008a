package scenario

import (
	"time"
)

// oneWay is the least time of a message between two nodes; up to half as much
// again is added at random.
const oneWay = 500 * time.Microsecond

// lateness is how long a message of a late node is held.
const lateness = 900 * time.Millisecond

// node is anything that sends and receives: a VM, a server, or the store.
type node struct {
	name   string
	up     bool
	paused bool
	// epoch counts restarts: what was meant for a former life is dropped.
	epoch int
	inbox []func()
	// resets counts how often all connections to the node broke.
	resets int
}

// network holds the faults between nodes.
type network struct {
	cut       map[[2]string]bool // one way: from, to
	late      map[string]bool    // answers of this node come late
	duplicate map[string]bool    // answers of this node come twice
}

// Effects that World.effects counts, so that a fault which never changed
// anything is not taken for a pass.
const (
	effectCut       = "cut"
	effectLate      = "late"
	effectDuplicate = "duplicate"
	effectPause     = "pause"
	effectKill      = "kill"
	effectLag       = "lag"
	effectDown      = "store-down"
	effectSlow      = "store-slow"
	effectLost      = "store-lost"
	effectRace      = "race"
	effectReset     = "reset"
)

func newNetwork() network {
	return network{
		cut:       make(map[[2]string]bool),
		late:      make(map[string]bool),
		duplicate: make(map[string]bool),
	}
}

func (w *World) addNode(name string) *node {
	n := &node{name: name, up: true}
	w.nodes[name] = n
	return n
}

// Cut drops messages from one node to another, in that direction.
func (w *World) Cut(from, to string) { w.net.cut[[2]string{from, to}] = true }

// Heal ends all cuts, late and doubled answers.
func (w *World) Heal() { w.net = newNetwork() }

// Isolate cuts a node off from all others that match.
func (w *World) Isolate(name string, match func(other string) bool) {
	for other := range w.nodes {
		if other != name && match(other) {
			w.Cut(name, other)
			w.Cut(other, name)
		}
	}
}

// Reset breaks all connections to a node: answers under way are lost, and their
// callers learn that the connection broke.
func (w *World) Reset(name string) { w.nodes[name].resets++ }

// Pause stops a node; what arrives meanwhile waits.
func (w *World) Pause(name string) { w.nodes[name].paused = true }

// Resume lets a paused node go on with all that waited.
func (w *World) Resume(name string) {
	n := w.nodes[name]
	n.paused = false
	waiting := n.inbox
	n.inbox = nil
	for _, f := range waiting {
		w.runOn(n, n.epoch, f)
	}
}

// Kill ends a node; its memory is gone, a server's log stays.
func (w *World) Kill(name string) {
	n := w.nodes[name]
	if n.up {
		w.effects[effectKill]++
	}
	n.up = false
	n.paused = false
	n.epoch++
	n.inbox = nil
}

// runOn runs f on a node unless it is of a former life.
func (w *World) runOn(n *node, epoch int, f func()) {
	switch {
	case !n.up || n.epoch != epoch:
	case n.paused:
		w.effects[effectPause]++
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

// after runs f on the node once d has passed there.
func (w *World) after(n *node, d time.Duration, f func()) {
	epoch := n.epoch
	w.at(w.now.Add(d), func() { w.runOn(n, epoch, f) })
}

func (w *World) delay() time.Duration {
	return oneWay + time.Duration(w.rng.Int64N(int64(oneWay/2)))
}

// send delivers f to a node, unless the way is cut when it arrives.
func (w *World) send(from, to *node, d time.Duration, f func()) {
	epoch := to.epoch
	w.at(w.now.Add(d), func() {
		if !w.dropped(from, to) {
			w.runOn(to, epoch, f)
		}
	})
}

// dropped reports whether the way between two nodes is cut.
func (w *World) dropped(from, to *node) bool {
	cut := w.net.cut[[2]string{from.name, to.name}]
	if cut {
		w.effects[effectCut]++
	}
	return cut
}

// call sends a request to a node and its answer back. handle runs there and
// returns what is to run here with the answer; nil means no answer. refused
// runs here when the node is down, as a refused connection does.
func (w *World) call(from, to *node, handle func() func(), refused func()) {
	fromEpoch := from.epoch
	w.at(w.now.Add(w.delay()), func() {
		if w.dropped(from, to) {
			return
		}
		if !to.up {
			w.send(to, from, w.delay(), refused)
			return
		}
		resets := to.resets
		w.runOn(to, to.epoch, func() {
			reply := handle()
			w.answer(from, to, fromEpoch, w.unlessReset(to, resets, reply, refused))
		})
	})
}

// unlessReset turns an answer into a lost connection if that broke meanwhile.
func (w *World) unlessReset(to *node, resets int, reply, lost func()) func() {
	if reply == nil {
		return nil
	}
	return func() {
		if to.resets == resets {
			reply()
			return
		}
		w.effects[effectReset]++
		lost()
	}
}

func (w *World) answer(from, to *node, epoch int, reply func()) {
	if reply == nil {
		return
	}
	guarded := func() {
		if from.epoch == epoch {
			reply()
		}
	}
	d := w.delay()
	if w.net.late[to.name] {
		d += lateness
		w.effects[effectLate]++
	}
	w.send(to, from, d, guarded)
	if w.net.duplicate[to.name] {
		w.effects[effectDuplicate]++
		w.send(to, from, d+w.delay(), guarded)
	}
}

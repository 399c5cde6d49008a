package scenario

import (
	"time"
)

// minOneWayDelay is the minimum delay of a message between two nodes. A random extra of up to half
// of it is added.
const minOneWayDelay = 500 * time.Microsecond

// lateAnswerDelay is the additional delay of answers from a node whose answers are late.
const lateAnswerDelay = 900 * time.Millisecond

// node is a sender and receiver of messages: a VM, a server or the store.
type node struct {
	name   string
	up     bool
	paused bool
	// epoch counts restarts: events scheduled for an earlier incarnation are dropped.
	epoch int
	inbox []func()
	// resets counts how often all connections to the node were broken.
	resets int
}

// network contains the faults between nodes.
type network struct {
	cut       map[[2]string]bool // key: from, to; one direction only
	late      map[string]bool    // nodes whose answers are delayed
	duplicate map[string]bool    // nodes whose answers are delivered twice
}

// Effects that World.effects counts, so that a fault which never took effect is not counted as a
// pass.
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
	effectRestored  = "store-restored"
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

// Cut drops messages from one node to another, in that direction only.
func (w *World) Cut(from, to string) { w.net.cut[[2]string{from, to}] = true }

// Heal removes all cuts and ends late and duplicated answers.
func (w *World) Heal() { w.net = newNetwork() }

// Isolate cuts a node off from all other nodes that match.
func (w *World) Isolate(name string, match func(other string) bool) {
	for other := range w.nodes {
		if other != name && match(other) {
			w.Cut(name, other)
			w.Cut(other, name)
		}
	}
}

// Reset breaks all connections to a node: answers in transit are lost, and their callers see the
// connection break.
func (w *World) Reset(name string) { w.nodes[name].resets++ }

// Pause stops a node; messages that arrive meanwhile are queued.
func (w *World) Pause(name string) { w.nodes[name].paused = true }

// Resume continues a paused node and processes its queued messages.
func (w *World) Resume(name string) {
	n := w.nodes[name]
	n.paused = false
	waiting := n.inbox
	n.inbox = nil
	for _, f := range waiting {
		w.runOn(n, n.epoch, f)
	}
}

// Kill ends a node's process. Its memory is lost; a server's log is retained.
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

// runOn runs f on a node, unless the node is down or has restarted since epoch. If the node is
// paused, f runs when it resumes.
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

// after runs f on the node after d.
func (w *World) after(n *node, d time.Duration, f func()) {
	epoch := n.epoch
	w.at(w.now.Add(d), func() { w.runOn(n, epoch, f) })
}

func (w *World) delay() time.Duration {
	return minOneWayDelay + time.Duration(w.rng.Int64N(int64(minOneWayDelay/2)))
}

// send delivers f to a node, unless the direction is cut at delivery time.
func (w *World) send(from, to *node, d time.Duration, f func()) {
	epoch := to.epoch
	w.at(w.now.Add(d), func() {
		if !w.dropped(from, to) {
			w.runOn(to, epoch, f)
		}
	})
}

// dropped reports whether messages between two nodes are cut, and counts the effect.
func (w *World) dropped(from, to *node) bool {
	cut := w.net.cut[[2]string{from.name, to.name}]
	if cut {
		w.effects[effectCut]++
	}
	return cut
}

// call sends a request to a node and its answer back. handle runs on the destination and returns
// what the caller then runs with the answer; nil means that there is no answer. refused runs on the
// caller when the destination is down, as for a refused connection.
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

// unlessReset replaces an answer by a lost connection if the connection broke in the meantime.
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
		d += lateAnswerDelay
		w.effects[effectLate]++
	}
	w.send(to, from, d, guarded)
	if w.net.duplicate[to.name] {
		w.effects[effectDuplicate]++
		w.send(to, from, d+w.delay(), guarded)
	}
}

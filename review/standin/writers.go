package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	writersPerMachine = 4
	writePause        = 40 * time.Millisecond
	reconnectPause    = 400 * time.Millisecond
	minAcknowledged   = 20
)

// writers are consumers that write through every machine.
type writers struct {
	d    *deployment
	done chan struct{}
	wait sync.WaitGroup
}

func startWriters(d *deployment) *writers {
	w := &writers{d: d, done: make(chan struct{})}
	for n, m := range d.machines {
		w.start(n+1, m)
	}
	return w
}

// start starts the consumers at one machine.
func (w *writers) start(number int, m *machine) {
	for i := range writersPerMachine {
		w.wait.Go(func() { w.run(fmt.Sprintf("w%d.%d.", number, i), m) })
	}
}

func (w *writers) stop() {
	close(w.done)
	w.wait.Wait()
}

// check reports whether enough was written for the case to count.
func (w *writers) check() error {
	if n := len(w.d.rec.acknowledged()); n < minAcknowledged {
		return fmt.Errorf("only %d writes were acknowledged", n)
	}
	return nil
}

// run writes until the end. It opens another session when its session ends.
func (w *writers) run(name string, m *machine) {
	for n := 1; !w.ended(); n++ {
		c, err := w.d.connect(fmt.Sprint(name, n, "."), m)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		w.write(c)
		c.Close()
	}
}

func (w *writers) write(c *session) {
	for !w.ended() {
		id, a := c.query("WRITE " + c.name + " x")
		if a.Lost {
			return
		}
		if a.OK() {
			w.d.rec.recordAcknowledged(id)
		}
		time.Sleep(writePause)
	}
}

func (w *writers) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// lost applies the rule LOST: the server that was promoted last must hold every write that a
// consumer got a success for.
func lost(d *deployment) []string {
	stored := d.group().Stored()
	var out []string
	for _, id := range d.rec.acknowledged() {
		if !stored[id] {
			out = append(out, fmt.Sprintf("LOST: write %s was acknowledged, and the primary %s does not hold it", id, d.group().Leader()))
		}
	}
	return out
}

// unasked applies the rule UNASKED: every request that a server ran must be one that a consumer sent.
func unasked(d *deployment) []string { return d.rec.unasked() }

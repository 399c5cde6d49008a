package edge_test

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"endivemoor.example/endivemoor/platform/standin/world"
)

const (
	// loadPause is the pause between two operations of a caller.
	loadPause = 25 * time.Millisecond
	// reopenAfter is the pause before a caller whose session ended comes back.
	reopenAfter = 100 * time.Millisecond
	// boundedAge is what the bounded route accepts.
	boundedAge = 1500 * time.Millisecond
)

// sold is an acknowledged write: the value and when its answer came.
type sold struct {
	value int
	at    time.Time
}

// traffic keeps writers and readers busy at each VM, and checks what the
// readers get. A writer gives its own item ever higher values.
type traffic struct {
	f    *fleet
	stop chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	acked    map[string][]sold
	broken   []string
	lastSale time.Time
	gap      time.Duration
}

func (f *fleet) traffic() *traffic {
	t := &traffic{f: f, stop: make(chan struct{}), acked: make(map[string][]sold), lastSale: time.Now()}
	for name := range f.vms {
		t.start(name)
	}
	return t
}

// start opens a writer and a reader of each freshness at a VM.
func (t *traffic) start(vm string) {
	item := "item-" + vm
	t.loop(vm, own, func(c *world.Consumer, n int) bool { return t.write(c, item, n) })
	t.loop(vm, exact, func(c *world.Consumer, n int) bool { return t.transact(c, "tx-"+vm, n) })
	t.loop(vm, exact, func(c *world.Consumer, n int) bool { return t.read(c, t.someItem(n), 0) })
	t.loop(vm, bounded, func(c *world.Consumer, n int) bool { return t.read(c, t.someItem(n), boundedAge) })
}

// loop repeats an operation until the traffic ends, in a new session after one
// that has broken.
func (t *traffic) loop(vm, db string, op func(c *world.Consumer, n int) bool) {
	t.wait.Add(1)
	t.f.sessions++
	name := fmt.Sprintf("load%d-", t.f.sessions)
	go func() {
		defer t.wait.Done()
		var c *world.Consumer
		for n := 1; !t.ended(); n++ {
			if c == nil {
				c = t.open(fmt.Sprint(name, n, "-"), vm, db)
			}
			if c != nil && !op(c, n) {
				c.Close()
				c = nil
			}
			time.Sleep(loadPause)
		}
		if c != nil {
			c.Close()
		}
	}()
}

func (t *traffic) ended() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

func (t *traffic) open(name, vm, db string) *world.Consumer {
	c, a := t.f.world.Open(name, t.f.addr(vm), db)
	if c == nil || a.Lost || a.State != "I" {
		time.Sleep(reopenAfter)
		return nil
	}
	return c
}

// write sells once, alone. The result is whether the session goes on.
func (t *traffic) write(c *world.Consumer, item string, n int) bool {
	a := c.Query("WRITE " + item + " " + strconv.Itoa(n))
	if a.OK() {
		t.sell(item, n)
		t.checkOwn(c, item, n)
	}
	return !a.Lost
}

// transact sells within a transaction.
func (t *traffic) transact(c *world.Consumer, item string, n int) bool {
	for _, text := range []string{"BEGIN", "READ " + item, "WRITE " + item + " " + strconv.Itoa(n)} {
		if a := c.Query(text); !a.OK() {
			return !a.Lost && c.Query("ROLLBACK").State == "I"
		}
	}
	a := c.Query("COMMIT")
	if a.OK() {
		t.sell(item, n)
	}
	return !a.Lost
}

func (t *traffic) sell(item string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.acked[item] = append(t.acked[item], sold{n, now})
	t.gap = max(t.gap, now.Sub(t.lastSale))
	t.lastSale = now
}

// checkOwn reads back what this session has just written.
func (t *traffic) checkOwn(c *world.Consumer, item string, n int) {
	t.check(c.Query("READ "+item), item, n, "own")
}

func (t *traffic) someItem(n int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind := [...]string{"item-", "tx-"}[n%2]
	return kind + "vm" + strconv.Itoa(n/2%len(t.f.vms))
}

// read reads an item, which must show all that was acknowledged longer than an
// age ago.
func (t *traffic) read(c *world.Consumer, item string, age time.Duration) bool {
	floor := t.floor(item, time.Now().Add(-age))
	a := c.Query("READ " + item)
	t.check(a, item, floor, age.String())
	return !a.Lost
}

func (t *traffic) floor(item string, before time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	floor := 0
	for _, s := range t.acked[item] {
		if s.at.Before(before) {
			floor = max(floor, s.value)
		}
	}
	return floor
}

func (t *traffic) check(a world.Answer, item string, floor int, kind string) {
	if !a.OK() {
		return
	}
	got := 0
	if len(a.Rows) == 1 && a.Rows[0] != "none" {
		got, _ = strconv.Atoi(a.Rows[0])
	}
	if got >= floor {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf("%s read of %s: %d, though %d was acknowledged", kind, item, got, floor))
}

// end stops the traffic and returns what was wrong, the number of sales and the
// longest time without one.
func (t *traffic) end() (broken []string, sales int, gap time.Duration) {
	close(t.stop)
	t.wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.acked {
		sales += len(s)
	}
	return t.broken, sales, t.gap
}

// sales counts the acknowledged writes so far.
func (t *traffic) sales() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.acked {
		n += len(s)
	}
	return n
}

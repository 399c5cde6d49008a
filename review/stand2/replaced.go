package main

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/catalog"
)

const (
	// rounds is how often the primary is cut off from the first machine.
	rounds = 12
	// cutTime is how long a cut lasts, and roundTime the time from one round to the next.
	cutTime   = 4 * time.Second
	roundTime = 8 * time.Second
	// pause is the time between two statements of a session.
	pause = 2 * time.Millisecond
	// readers is the number of sessions of a database that read at the last machine, each of them once in
	// readInterval.
	readers      = 80
	readInterval = 800 * time.Millisecond
)

// counter is an item that one session writes with growing numbers.
type counter struct {
	service string
	// acknowledged is the last number whose write was acknowledged.
	acknowledged atomic.Int64
}

// replaced plays a primary that is cut off from one machine, which has it replaced, while another one
// hears nothing of the servers' entries because that connection to the store is silent. It returns the
// number of reads on routes of the kind primary that lacked a write which was acknowledged before they
// were sent.
func replaced(d *deployment, trouble string) (broken int, err error) {
	d.publish(exactAndBounded(firstService)...)
	if err := d.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	p := &replacedPlay{d: d, stop: make(chan struct{})}
	if err := p.begin(&counter{service: firstService}); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	for range rounds {
		p.round(trouble)
	}
	close(p.stop)
	p.running.Wait()
	end := d.world.Group(firstService).Check()
	d.rec.line("at the end: %d acknowledged commits, of which the primary lacks %d", end.Acknowledged, len(end.Lost))
	return int(p.broken.Load()), nil
}

// exactAndBounded returns two routes to a service, whose name is the database of the exact one.
func exactAndBounded(service string) []catalog.Route {
	return []catalog.Route{{
		Database: service, Service: service, Freshness: catalog.Exact,
		StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1,
	}, {
		Database: service + "-checks", Service: service, Freshness: catalog.Bounded, MaxAge: 1500 * time.Millisecond,
		StatementTimeout: 2 * time.Second, Objective: 500 * time.Millisecond, Priority: 2,
	}}
}

type replacedPlay struct {
	d       *deployment
	stop    chan struct{}
	running sync.WaitGroup
	broken  atomic.Int64
}

// round cuts the primary off from the first machine.
func (p *replacedPlay) round(trouble string) {
	if trouble == troubleAll {
		n := p.d.paths[len(p.d.paths)-1].silence()
		p.d.rec.line("silent from now on: %d connections of the last machine to the store, each with a waiting watch of the servers", n)
	}
	if trouble != troubleNone {
		p.cutPrimary(firstService)
	}
	time.Sleep(roundTime)
}

// cutPrimary cuts a primary off from the first machine for a while.
func (p *replacedPlay) cutPrimary(service string) {
	g := p.d.world.Group(service)
	id, machine := g.Leader(), p.d.nodes[0]
	heal := p.d.links.cutOff(machine, g.Server(id).Addr)
	p.d.rec.line("cut: %s, the primary of %s, and %s", id, service, machine)
	time.AfterFunc(cutTime, func() {
		heal()
		p.d.rec.line("healed: %s and %s", id, machine)
	})
	go func() {
		for deadline := time.Now().Add(cutTime); g.Leader() == id && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
		p.d.rec.line("%s leads %s", g.Leader(), service)
	}()
}

// begin starts the sessions of a service: one that writes at the first machine, and many at the last one,
// each of which reads from time to time.
func (p *replacedPlay) begin(c *counter) error {
	writer, err := open(p.d.rec, p.d.fronts[0], c.service+"-writer", c.service)
	if err != nil {
		return err
	}
	p.running.Go(func() { p.write(writer, c) })
	last := p.d.fronts[len(p.d.fronts)-1]
	checker, err := open(p.d.rec, last, c.service+"-checker", c.service+"-checks")
	if err != nil {
		return err
	}
	p.running.Go(func() { p.check(checker) })
	for i := range readers {
		reader, err := open(p.d.rec, last, fmt.Sprintf("%s-reader%d", c.service, i), c.service)
		if err != nil {
			return err
		}
		p.running.Go(func() {
			time.Sleep(time.Duration(i) * readInterval / readers)
			p.read(reader, c)
		})
	}
	return nil
}

func (p *replacedPlay) ended(pause time.Duration) bool {
	select {
	case <-p.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

func (p *replacedPlay) write(s *session, c *counter) {
	for n := int64(1); !p.ended(pause); n++ {
		a := s.query(fmt.Sprintf("WRITE counter %d", n))
		if a.OK() {
			c.acknowledged.Store(n)
		}
	}
}

func (p *replacedPlay) read(s *session, c *counter) {
	for !p.ended(readInterval) {
		before := c.acknowledged.Load()
		sent := time.Now()
		a := s.query("READ counter")
		if !a.OK() || len(a.Rows) != 1 {
			continue
		}
		if got, _ := strconv.ParseInt(a.Rows[0], 10, 64); got < before {
			p.broken.Add(1)
			p.d.rec.line("STALE: %s.%d was sent %s ago, answered by %s at %s: it read %s, and %d was acknowledged before it was sent",
				s.name, s.next, time.Since(sent).Round(100*time.Microsecond), a.Text, a.Position, a.Rows[0], before)
		}
	}
}

func (p *replacedPlay) check(s *session) {
	for !p.ended(pause) {
		s.query("READ counter")
	}
}

package main

import (
	"fmt"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
)

const (
	ownSessions = 12
	// disruptedLag is how late the replicas apply commits while they fall behind.
	disruptedLag = 3500 * time.Millisecond
	// versionGap is the time between two versions of the configuration.
	versionGap = 330 * time.Millisecond

	ownDatabase   = "renewals"
	otherDatabase = "purchases"
	firstService  = "ledger-a"
	secondService = "ledger-b"
)

// ownWrites plays sessions of a route of the kind own whose service changes and changes back. It
// returns the number of reads that lacked a write of their own session. Each item is written once.
func ownWrites(d *deployment, trouble string) (broken int, err error) {
	own := catalog.Route{
		Database: ownDatabase, Service: firstService, Freshness: catalog.Own, MaxAge: 2500 * time.Millisecond,
		StatementTimeout: 800 * time.Millisecond, Objective: 250 * time.Millisecond, Priority: 2,
	}
	moved := own
	moved.Service = secondService
	other := catalog.Route{
		Database: otherDatabase, Service: firstService, Freshness: catalog.Exact,
		StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1,
	}
	d.publish(own, other)
	if err := d.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	stop := d.readInBackground()
	defer stop()
	sessions, err := d.openAll(ownSessions)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	if trouble != troubleNone {
		d.fallBehind(firstService)
	}
	acknowledged := make([]bool, ownSessions)
	each(sessions, func(i int, s *session) { acknowledged[i] = s.query(fmt.Sprintf("WRITE pass%d renewed", i)).OK() })
	move := func(to catalog.Route) {
		if trouble == troubleAll {
			d.publish(other)
			time.Sleep(versionGap)
			d.publish(to, other)
		}
		time.Sleep(versionGap)
	}
	move(moved)
	each(sessions, func(i int, s *session) { s.query(fmt.Sprintf("WRITE extra%d renewed", i)) })
	move(own)
	stale := make([]int, ownSessions)
	each(sessions, func(i int, s *session) {
		for range 4 {
			a := s.query(fmt.Sprintf("READ pass%d", i))
			if acknowledged[i] && a.OK() && (len(a.Rows) != 1 || a.Rows[0] != "renewed") {
				stale[i]++
				d.rec.line("STALE: %s.%d has run on a log that lacks %s.1, which was acknowledged to its own session", s.name, s.next, s.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for _, n := range stale {
		broken += n
	}
	return broken, nil
}

// fallBehind makes the replicas of a service apply late what they receive.
func (d *deployment) fallBehind(service string) {
	d.rec.line("the replicas of %s fall behind: they apply commits %s late", service, disruptedLag)
	d.setApplyDelay(service, disruptedLag)
}

// openAll opens sessions at all machines in turn.
func (d *deployment) openAll(count int) ([]*session, error) {
	var out []*session
	for i := range count {
		s, err := open(d.rec, d.fronts[i%len(d.fronts)], fmt.Sprintf("own%d", i), ownDatabase)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// each runs a step of all sessions at once.
func each(sessions []*session, step func(i int, s *session)) {
	var wg sync.WaitGroup
	for i, s := range sessions {
		wg.Go(func() { step(i, s) })
	}
	wg.Wait()
}

// readInBackground reads at each machine as consumers of another database of the same service do.
func (d *deployment) readInBackground() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i, addr := range d.fronts {
		wg.Go(func() {
			s, err := open(d.rec, addr, fmt.Sprintf("buyer%d", i), otherDatabase)
			if err != nil {
				return
			}
			defer s.Close()
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
					s.query("READ nothing")
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

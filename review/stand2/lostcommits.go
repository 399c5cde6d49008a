package main

import (
	"fmt"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/platform/standin/database"
)

const (
	writers = 12
	// releases is how often a replica is replaced, each time with a cut of the primary for replicaCutTime.
	releases       = 5
	replicaCutTime = 4 * time.Second
	// leavesAfter is how long after its report a leaving server ends: drain-ms, and a little longer.
	leavesAfter = 7500 * time.Millisecond
	releaseTime = 8 * time.Second
	// streamGap is by how much the replication to the leaving replica ends later than that to the others.
	streamGap = 2 * time.Millisecond
	// leavesWithin is how long after the beginning of the cut the leaving replica ends.
	leavesWithin = 50 * time.Millisecond
)

// lostCommits plays releases of replicas, and primaries that are cut off from their replicas as the leaving
// one ends. It returns the number of writes that were acknowledged to their consumers and that the primary lacks at the end.
func lostCommits(d *deployment, trouble string) (broken int, err error) {
	d.publish(catalog.Route{
		Database: ownDatabase, Service: firstService, Freshness: catalog.Exact,
		StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1,
	})
	if err := d.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	sessions, err := d.openAll(writers)
	if err != nil {
		return 0, err
	}
	acknowledged := make([][]string, len(sessions))
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		each(sessions, func(i int, s *session) { acknowledged[i] = s.writeUntil(stop) })
	})
	time.Sleep(5 * time.Second)
	for n := range releases {
		d.releaseReplica(firstService, n, trouble)
		time.Sleep(releaseTime)
	}
	close(stop)
	running.Wait()
	stored := d.world.Group(firstService).Stored()
	for _, ids := range acknowledged {
		for _, id := range ids {
			if !stored[id] {
				broken++
				d.rec.line("LOST: %s was acknowledged to its consumer, and the primary %s lacks it", id, d.world.Group(firstService).Leader())
			}
		}
	}
	return broken, nil
}

// writeUntil writes until stopped, and returns the ids of the writes that were acknowledged.
func (s *session) writeUntil(stop chan struct{}) (acknowledged []string) {
	for {
		select {
		case <-stop:
			return acknowledged
		case <-time.After(pause):
		}
		if a := s.query(fmt.Sprintf("WRITE item-%s %d", s.name, s.next)); a.OK() {
			acknowledged = append(acknowledged, fmt.Sprintf("%s.%d", s.name, s.next))
		}
	}
}

// releaseReplica replaces a replica of a service: the new server starts, and the old one leaves. As it is
// about to end, the primary is cut off from all its replicas for a while.
func (d *deployment) releaseReplica(service string, n int, trouble string) {
	if trouble == troubleNone {
		return
	}
	g := d.world.Group(service)
	primary, leaving := g.Leader(), ""
	if trouble == troubleAll {
		leaving = d.startRelease(service, fmt.Sprintf("%s-new%d", service, n))
		time.Sleep(leavesAfter)
	}
	if g.Leader() != primary {
		d.rec.line("no cut: %s was replaced meanwhile", primary)
		return
	}
	// What is on its way to the other replicas is lost, and what is on its way to the leaving one arrives.
	d.cutAllBut(g, true, primary, leaving)
	time.Sleep(streamGap)
	g.SetReplicationCut(primary, true)
	d.rec.line("cut: the primary %s from its replicas", primary)
	d.cutAllBut(g, false, primary, leaving)
	if leaving != "" {
		time.Sleep(leavesWithin)
		d.world.Remove(service, leaving)
		d.rec.line("release: %s has left", leaving)
	}
	time.AfterFunc(replicaCutTime, func() {
		g.SetReplicationCut(primary, false)
		d.rec.line("healed: %s and its replicas; %s leads", primary, g.Leader())
	})
}

// startRelease starts a server, and lets a replica leave. It returns the replica.
func (d *deployment) startRelease(service, id string) (leaving string) {
	g := d.world.Group(service)
	for _, server := range g.Servers() {
		if server != g.Leader() {
			leaving = server
		}
	}
	d.world.AddServer(service, id, g.Server(leaving).Zone)
	g.SetApplyDelay(id, usualLag)
	d.world.Drain(service, leaving)
	d.rec.line("release: %s has started, the replica %s is leaving", id, leaving)
	return leaving
}

// cutAllBut ends or restores the replication to all servers of a group but two.
func (d *deployment) cutAllBut(g *database.Group, cut bool, primary, leaving string) {
	for _, id := range g.Servers() {
		if id != primary && id != leaving && g.Server(id).Alive() {
			g.SetReplicationCut(id, cut)
		}
	}
}

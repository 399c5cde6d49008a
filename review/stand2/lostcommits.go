package main

import (
	"fmt"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
)

const (
	writers = 12
	// cutRounds is how often a primary is cut off from its replicas, each time for replicaCutTime.
	cutRounds      = 4
	replicaCutTime = 4 * time.Second
	cutRoundTime   = 14 * time.Second
	// streamGap is by how much the replication to one replica ends before that to the other one.
	streamGap = 3 * time.Millisecond
	// restartAfter is how long after the cut the replica restarts that has received the most.
	restartAfter = 50 * time.Millisecond
)

// lostCommits plays primaries that are cut off from their replicas, of which one restarts. It returns the
// number of writes that were acknowledged to their consumers and that the primary lacks at the end.
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
	for range cutRounds {
		d.cutReplicas(firstService, trouble)
		time.Sleep(cutRoundTime)
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

// cutReplicas cuts the primary of a service off from its replicas for a while. The stream to one of them
// ends a moment earlier; the other one restarts soon after, without what it had.
func (d *deployment) cutReplicas(service, trouble string) {
	if trouble == troubleNone {
		return
	}
	g := d.world.Group(service)
	primary := g.Leader()
	var replicas []string
	for _, id := range g.Servers() {
		if id != primary {
			replicas = append(replicas, id)
		}
	}
	// What is on its way to the one replica is lost, and what is on its way to the other one arrives.
	g.SetReplicationCut(replicas[0], true)
	time.Sleep(streamGap)
	g.SetReplicationCut(primary, true)
	d.rec.line("cut: the primary %s from its replicas, first from %s", primary, replicas[0])
	g.SetReplicationCut(replicas[0], false)
	if trouble == troubleAll {
		time.Sleep(restartAfter)
		d.world.RestartEmpty(service, replicas[1])
		d.rec.line("restarted: %s, which holds and knows nothing of before", replicas[1])
	}
	time.AfterFunc(replicaCutTime, func() {
		g.SetReplicationCut(primary, false)
		d.rec.line("healed: %s and its replicas; %s leads", primary, g.Leader())
	})
}

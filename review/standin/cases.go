package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// calm is how long the consumers write before the first disruption.
	calm = 2 * time.Second
	// followerTime is how long the first primary needs to follow its successor, and other machines
	// wait after a failover before they begin another one.
	followerTime = 4 * time.Second
	callTimeout  = 15 * time.Second
	// afterCall is how long the case goes on after the last failover call.
	afterCall = 3 * time.Second
	// refusal is how long the failover call is refused, from the first one on.
	refusal = 1900 * time.Millisecond
	// restartTime is how long the replica is down.
	restartTime = 150 * time.Millisecond
	// stopping is how long after SIGTERM the statement is sent: sessions are closed between
	// operations by then, and an open transaction has until 3 s after SIGTERM to end.
	stopping = 2300 * time.Millisecond
	// segmentGap separates the two segments in which the statement arrives.
	segmentGap = 150 * time.Millisecond
)

func (d *deployment) awaitCall() error {
	select {
	case <-d.calls:
		return nil
	case <-time.After(callTimeout):
		return errors.New("no failover call in time")
	}
}

// secondFailover replaces the primary of a group twice, because two of three machines do not reach
// it. The third machine is stopped at the time of the second failover.
func secondFailover(d *deployment, trouble bool) error {
	w := startWriters(d)
	defer w.stop()
	time.Sleep(calm)
	if !trouble {
		time.Sleep(followerTime + afterCall)
		return w.check()
	}
	holder, other, stopped := d.machines[0], d.machines[1], d.machines[2]
	oldest := d.group().Leader()
	d.cut(oldest, holder, true)
	d.cut(oldest, other, true)
	if err := d.awaitCall(); err != nil {
		return err
	}
	time.Sleep(followerTime)
	if calls := d.world.Store.DesignationCalls(); calls[0].Holder == other.name {
		holder, other = other, holder
	}
	d.cut(oldest, other, false)
	d.cut(d.group().Leader(), holder, true)
	d.cut(d.group().Leader(), other, true)
	if err := d.terminate(stopped); err != nil {
		return err
	}
	if err := d.awaitCall(); err != nil {
		return err
	}
	d.cut(oldest, holder, false)
	time.Sleep(afterCall)
	return w.check()
}

// replicaRestarts replaces a primary that three machines do not reach. While the platform refuses the
// failover call, one of the replicas restarts and a machine is added, which reaches the primary.
func replicaRestarts(d *deployment, trouble bool) error {
	w := startWriters(d)
	defer w.stop()
	time.Sleep(calm)
	const replica = "ledger-3"
	if trouble {
		d.refusing.Store(true)
		for _, m := range d.machines {
			d.cut(d.group().Leader(), m, true)
		}
		if err := d.awaitCall(); err != nil {
			return err
		}
		d.rec.printf("%s crashes", replica)
		d.world.Crash(serviceName, replica)
	}
	begun := time.Now()
	time.Sleep(restartTime)
	if trouble {
		d.group().RestartEmpty(replica)
		d.world.Start(serviceName, replica)
		d.rec.printf("%s runs again", replica)
	}
	added := len(d.machines) + 1
	if err := d.startMachine(added, false); err != nil {
		return err
	}
	w.start(added, d.machines[added-1])
	time.Sleep(time.Until(begun.Add(refusal)))
	d.refusing.Store(false)
	d.rec.printf("the failover call is accepted again")
	time.Sleep(afterCall)
	return w.check()
}

// splitWhileStopping sends a WRITE of an open transaction in two TCP segments to a machine that is
// shutting down. What the end user typed contains the words of another WRITE.
func splitWhileStopping(d *deployment, trouble bool) error {
	other, err := d.connect("other", d.machines[1])
	if err != nil {
		return err
	}
	if err := other.must("WRITE acct-7 100"); err != nil {
		return err
	}
	c, err := d.connect("user", d.machines[0])
	if err != nil {
		return err
	}
	for _, text := range []string{"BEGIN", "WRITE visits 1"} {
		if err := c.must(text); err != nil {
			return err
		}
	}
	if trouble {
		if err := d.terminate(d.machines[0]); err != nil {
			return err
		}
	}
	time.Sleep(stopping)
	d.rec.recordSent("user-note", "WRITE note see QUERY smuggled WRITE acct-7 0")
	if _, err := fmt.Fprint(c.conn, "QUERY user-note WRITE note see "); err != nil {
		return err
	}
	d.rec.printf("the first segment is sent")
	time.Sleep(segmentGap)
	d.rec.printf("the second segment is sent")
	d.rec.printf("answer to id user-note: %+v", c.Send("QUERY smuggled WRITE acct-7 0\r\n"))
	c.query("COMMIT")
	other.query("READ acct-7")
	return nil
}

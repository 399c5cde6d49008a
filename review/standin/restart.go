package main

import "time"

const (
	// refusal is how long the failover call is refused, from the first one on.
	refusal = 1900 * time.Millisecond
	// restartTime is how long the replica is down.
	restartTime = 150 * time.Millisecond
)

// replicaRestarts replaces a primary that three machines do not reach. While the platform refuses the
// failover call, one of the replicas restarts and a machine is added, which reaches the primary.
func replicaRestarts(d *deployment, trouble bool) error {
	g := d.group
	w := startWriters(d)
	defer w.stop()
	time.Sleep(calm)
	if trouble {
		g.busy.Store(true)
		for _, m := range d.machines {
			d.rec.printf("i-1 is cut from %s", m.name)
			g.net.set("i-1", m.name, true)
		}
		if _, err := g.awaitCall(); err != nil {
			return err
		}
		d.rec.printf("i-3 crashes")
		g.crash("i-3")
	}
	begun := time.Now()
	time.Sleep(restartTime)
	if trouble {
		if err := g.restart("i-3"); err != nil {
			return err
		}
		d.rec.printf("i-3 runs again")
	}
	added := len(d.machines) + 1
	if err := d.startMachine(added, false); err != nil {
		return err
	}
	w.start(added, d.machines[added-1])
	time.Sleep(time.Until(begun.Add(refusal)))
	g.busy.Store(false)
	d.rec.printf("the failover call is accepted again")
	time.Sleep(afterCall)
	return w.check()
}

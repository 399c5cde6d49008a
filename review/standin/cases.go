package main

import (
	"syscall"
	"time"
)

const (
	// note is what an end user typed. It is the data of one WRITE and contains the words of another.
	note = "see QUERY b9 WRITE acct-7 0"
	// stopping is how long after SIGTERM the statement is sent: sessions are closed between
	// operations by then, and an open transaction has until 3 s after SIGTERM to end.
	stopping = 2300 * time.Millisecond
	// segmentGap separates the two segments in which the statement arrives.
	segmentGap = 150 * time.Millisecond
	quiet      = 500 * time.Millisecond
)

// setUp gives the account its balance.
func setUp(d *deployment) (other *consumer, err error) {
	other, err = d.connect("other", d.machines[1])
	if err != nil {
		return nil, err
	}
	return other, other.must("o1", "WRITE acct-7 100")
}

// splitWhileStopping sends a WRITE of an open transaction in two TCP segments to a machine that is
// shutting down.
func splitWhileStopping(d *deployment, trouble bool) error {
	other, err := setUp(d)
	if err != nil {
		return err
	}
	c, err := d.connect("user", d.machines[0])
	if err != nil {
		return err
	}
	if err := c.must("a1", "BEGIN"); err != nil {
		return err
	}
	if err := c.must("a2", "WRITE visits 1"); err != nil {
		return err
	}
	if trouble {
		d.rec.printf("SIGTERM to %s", d.machines[0].name)
		if err := d.machines[0].process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	time.Sleep(stopping)
	d.rec.recordSent("QUERY a3 WRITE note " + note)
	if err := c.send("QUERY a3 WRITE note see "); err != nil {
		return err
	}
	time.Sleep(segmentGap)
	if err := c.send("QUERY b9 WRITE acct-7 0\r\n"); err != nil {
		return err
	}
	if _, err := c.answer(); err != nil {
		return err
	}
	if _, err := c.query("a4", "COMMIT"); err != nil {
		return err
	}
	_, err = other.query("o2", "READ acct-7")
	return err
}

// lineFeed sends a WRITE whose data contains a line feed.
func lineFeed(d *deployment, trouble bool) error {
	other, err := setUp(d)
	if err != nil {
		return err
	}
	c, err := d.connect("user", d.machines[0])
	if err != nil {
		return err
	}
	separator := " "
	if trouble {
		separator = "\n"
	}
	if _, err := c.query("a1", "WRITE note see"+separator+"QUERY b9 WRITE acct-7 0"); err != nil {
		return err
	}
	c.drain(quiet)
	_, err = other.query("o2", "READ acct-7")
	return err
}

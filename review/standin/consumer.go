package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 3 * time.Second

// consumer is one session.
type consumer struct {
	rec  *record
	name string
	conn net.Conn
	in   *bufio.Reader
}

// connect opens a session at a machine.
func (d *deployment) connect(name string, m *machine) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", m.front, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &consumer{rec: d.rec, name: name, conn: conn, in: bufio.NewReader(conn)}
	c.rec.printf("%s connects to %s", name, m.name)
	if err := c.send("STARTUP " + databaseName + " " + name + "\r\n"); err != nil {
		return nil, err
	}
	message, err := c.read(answerTimeout)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(message, "READY I") {
		return nil, fmt.Errorf("%s: startup was answered with %q", name, message)
	}
	return c, nil
}

func (c *consumer) send(bytes string) error {
	c.rec.printf("%s sends %q", c.name, bytes)
	_, err := c.conn.Write([]byte(bytes))
	return err
}

func (c *consumer) read(timeout time.Duration) (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	message, err := readMessage(c.in)
	if err == nil {
		c.rec.printf("%s receives %q", c.name, message)
	}
	return message, err
}

// query sends a statement and returns the last message before READY.
func (c *consumer) query(id, text string) (string, error) {
	message := "QUERY " + id + " " + text
	c.rec.recordSent(message)
	if err := c.send(message + "\r\n"); err != nil {
		return "", err
	}
	return c.answer()
}

// answer reads one complete answer.
func (c *consumer) answer() (string, error) {
	last := ""
	for {
		message, err := c.read(answerTimeout)
		if err != nil {
			return "", err
		}
		if strings.HasPrefix(message, "READY ") {
			return last, nil
		}
		last = message
	}
}

// must is query for a statement without which the case makes no sense.
func (c *consumer) must(id, text string) error {
	last, err := c.query(id, text)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(last, "DONE ") {
		return fmt.Errorf("%s: %s was answered with %q", c.name, text, last)
	}
	return nil
}

// drain records what else arrives, up to a timeout or the end of the session.
func (c *consumer) drain(timeout time.Duration) {
	for {
		if _, err := c.read(timeout); err != nil {
			c.rec.printf("%s: %v", c.name, err)
			return
		}
	}
}

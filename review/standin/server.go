package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

const serviceName = "ledger"

// group is a primary and its replicas. All hold the same log: replication takes no time.
type group struct {
	rec    *record
	mu     sync.Mutex
	items  map[string]string
	number int
}

// server is one database server.
type server struct {
	*group
	id      string
	primary bool
	conns   int
}

// connection is one connection to a server.
type connection struct {
	*server
	conn     net.Conn
	state    string
	prepared map[string]string
	writes   map[string]string // of the open transaction
}

func (s *server) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

// readMessage reads one message. A message ends with CR LF; a line feed alone is part of a field.
func readMessage(in *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(part)
		if strings.HasSuffix(b.String(), "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func (s *server) handle(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	first, err := readMessage(in)
	if err != nil {
		return
	}
	f := strings.Fields(first)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != serviceName || (len(f) > 3 && f[3] != s.id) {
		_, _ = fmt.Fprintf(conn, "ERR WRONGNODE %s\r\n", s.id)
		return
	}
	s.count(1)
	defer s.count(-1)
	c := &connection{server: s, conn: conn, state: "I", prepared: make(map[string]string)}
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", c.position()); err != nil {
		return
	}
	for {
		message, err := readMessage(in)
		if err != nil || !c.query(message) {
			return
		}
	}
}

func (s *server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns += n
}

func (c *connection) position() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("1.%d", c.number)
}

// query serves one query; false ends the connection.
func (c *connection) query(message string) bool {
	word, rest, _ := strings.Cut(message, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	if after, isAfter := strings.CutPrefix(text, "AFTER "); isAfter {
		_, text, _ = strings.Cut(after, " ")
	}
	row, code := c.run(id, text)
	var out strings.Builder
	if row != "" {
		out.WriteString("ROW " + row + "\r\n")
	}
	if code != "" {
		out.WriteString("ERR " + code + " " + c.id + "\r\n")
	} else {
		out.WriteString("DONE " + c.id + "." + id + "\r\n")
	}
	out.WriteString("READY " + c.state + " " + c.position() + "\r\n")
	_, err := c.conn.Write([]byte(out.String()))
	return err == nil
}

// run runs a statement and returns a row and an error code, each of which may be empty.
func (c *connection) run(id, text string) (row, code string) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STAT", "PAUSE", "RESUME", "STEPDOWN":
		return c.status(), ""
	case "RESET":
		clear(c.prepared)
		return "", ""
	case "SET":
		return "", ""
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return "", ""
	case "BEGIN":
		if rest != "READ" && !c.primary {
			return "", "READONLY"
		}
		c.state, c.writes = "T", make(map[string]string)
		return "", ""
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return "", ""
	case "COMMIT":
		c.rec.recordRun(c.id, id, text)
		c.commit(c.writes)
		c.state, c.writes = "I", nil
		return "", ""
	case "READ":
		c.rec.recordRun(c.id, id, text)
		return c.read(rest), ""
	case "WRITE":
		return "", c.write(id, text, rest)
	default:
		return "", "MALFORMED"
	}
}

func (s *server) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

func (c *connection) status() string {
	position := c.position()
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%s 1 %s 0 0 1 %d", c.role(), position, c.conns)
}

func (c *connection) read(item string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.items[item]; ok {
		return v
	}
	return "none"
}

func (c *connection) write(id, text, rest string) (code string) {
	if !c.primary {
		return "READONLY"
	}
	c.rec.recordRun(c.id, id, text)
	item, data, _ := strings.Cut(rest, " ")
	if c.state == "T" {
		c.writes[item] = data
		return ""
	}
	c.commit(map[string]string{item: data})
	return ""
}

func (c *connection) commit(writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	for item, data := range writes {
		c.items[item] = data
	}
}

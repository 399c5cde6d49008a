package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
)

// links are the network between the machines and the servers: a server's entry has the address of its
// link. A link reads from the startup of a connection which machine has opened it.
type links struct {
	mu sync.Mutex
	// byServer are the addresses of the links, by the server's own address.
	byServer map[string]string
	// cut are the pairs that are cut off from each other: a machine, and the own address of a server.
	cut map[pair]bool
	// open are the connections of each pair.
	open map[pair][]chan struct{}
}

type pair struct{ machine, server string }

func newLinks() *links {
	return &links{byServer: make(map[string]string), cut: make(map[pair]bool), open: make(map[pair][]chan struct{})}
}

// advertise returns the address of the link to a server, and opens it.
func (l *links) advertise(server string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byServer[server] == "" {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		l.byServer[server] = ln.Addr().String()
		go l.accept(ln, server)
	}
	return l.byServer[server]
}

// cutOff drops everything between a machine and a server, silently, until the returned function is called.
// What was held up is lost with its connection.
func (l *links) cutOff(machine, server string) (heal func()) {
	p := pair{machine, server}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[p] = true
	for _, silence := range l.open[p] {
		close(silence)
	}
	l.open[p] = nil
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.cut, p)
	}
}

func (l *links) accept(ln net.Listener, server string) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn, server)
	}
}

func (l *links) serve(conn net.Conn, server string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	first, err := in.ReadString('\n')
	fields := strings.Fields(first)
	if err != nil || len(fields) < 3 {
		return
	}
	silence, cut := l.register(pair{fields[2], server})
	if cut {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	to, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := io.WriteString(to, first); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go forward(to, in, silence, ended)
	go forward(conn, to, silence, ended)
	select {
	case <-ended:
	case <-silence:
		_ = to.Close()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// register registers a connection. Its channel is closed when the pair is cut.
func (l *links) register(p pair) (silence chan struct{}, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence = make(chan struct{})
	if !l.cut[p] {
		l.open[p] = append(l.open[p], silence)
	}
	return silence, l.cut[p]
}

func forward(to io.Writer, from io.Reader, silence chan struct{}, ended chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silence:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ended <- struct{}{}
}

package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
)

// network holds a proxy before each server and can cut the path between single machines and
// servers. A cut is silent; when it ends, the connections that were open during the cut are reset.
type network struct {
	mu      sync.Mutex
	proxies map[string]string // address of the proxy, by server's address
	cut     map[path]bool
	changed chan struct{}
}

// path is the path between a server, given by its address, and a machine.
type path struct{ server, machine string }

func newNetwork() *network {
	return &network{proxies: make(map[string]string), cut: make(map[path]bool), changed: make(chan struct{})}
}

// proxy returns the address of a server's proxy and starts it if there is none.
func (n *network) proxy(server string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr, ok := n.proxies[server]; ok {
		return addr
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	n.proxies[server] = ln.Addr().String()
	go n.accept(ln, server)
	return n.proxies[server]
}

func (n *network) accept(ln net.Listener, server string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go n.serve(c.(*net.TCPConn), server)
	}
}

// serve forwards one connection. Its first line names the machine in the third field.
func (n *network) serve(machine *net.TCPConn, server string) {
	in := bufio.NewReader(machine)
	first, err := in.ReadString('\n')
	f := strings.Fields(first)
	if err != nil || len(f) < 3 {
		_ = machine.Close()
		return
	}
	p := path{server, f[2]}
	n.await(p)
	c, err := net.Dial("tcp", server)
	if err != nil {
		reset(machine)
		return
	}
	target := c.(*net.TCPConn)
	if _, err := target.Write([]byte(first)); err != nil {
		reset(machine)
		return
	}
	go n.forward(p, target, machine, target)
	n.forward(p, machine, target, in)
}

// forward copies one direction until the connection ends. What arrives during a cut is dropped, and
// the connection is reset once the cut ends.
func (n *network) forward(p path, from, to *net.TCPConn, in io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := in.Read(buffer)
		if n.await(p) {
			reset(from)
			reset(to)
			return
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// await waits until a path is not cut, and reports whether it was.
func (n *network) await(p path) (waited bool) {
	for {
		n.mu.Lock()
		cut, changed := n.cut[p], n.changed
		n.mu.Unlock()
		if !cut {
			return waited
		}
		waited = true
		<-changed
	}
}

func (n *network) set(server, machine string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[path{server, machine}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

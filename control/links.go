package control

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// DefaultTimeout limits one control call. A server that does not reply within it counts as
// unresponsive, so that a frozen primary that still accepts TCP connections is detected.
const DefaultTimeout = 400 * time.Millisecond

// Links holds a Link for each server that this daemon controls or queries.
type Links struct {
	dial     Dialer
	clk      clock.Clock
	timeout  time.Duration
	listener Listener

	mu    sync.Mutex
	links map[target.ID]*Link
}

// NewLinks returns an empty set. Links are created on first use.
func NewLinks(dial Dialer, clk clock.Clock, timeout time.Duration, listener Listener) *Links {
	return &Links{dial: dial, clk: clk, timeout: timeout, listener: listener, links: map[target.ID]*Link{}}
}

// Of returns the link to s. A server whose address has changed gets a new link.
func (ls *Links) Of(s view.Server) *Link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := ls.links[s.ID]
	if l != nil && l.addr == s.Addr {
		return l
	}
	if l != nil {
		go l.Close()
	}
	l = NewLink(s.ID, s.Addr, ls.dial, ls.clk, ls.timeout, ls.listener)
	ls.links[s.ID] = l
	return l
}

// Close closes all links.
func (ls *Links) Close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.links {
		l.Close()
	}
}

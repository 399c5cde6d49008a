package control

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// DefaultTimeout bounds one control call. A server that takes longer counts
// as silent, so that a frozen primary that still accepts TCP is found.
const DefaultTimeout = 400 * time.Millisecond

// Links holds a Link for each server that this daemon talks to.
type Links struct {
	dial    Dialer
	clk     clock.Clock
	timeout time.Duration
	listen  Listener

	mu    sync.Mutex
	links map[target.ID]*Link
}

// NewLinks returns an empty set; links are made on first use.
func NewLinks(dial Dialer, clk clock.Clock, timeout time.Duration, listen Listener) *Links {
	return &Links{dial: dial, clk: clk, timeout: timeout, listen: listen, links: map[target.ID]*Link{}}
}

// Of returns the link to s. A server that moved to another address gets a new
// link.
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
	l = NewLink(s.ID, s.Addr, ls.dial, ls.clk, ls.timeout, ls.listen)
	ls.links[s.ID] = l
	return l
}

// Close ends all links.
func (ls *Links) Close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.links {
		l.Close()
	}
}

package pool

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Sweep closes the connections that are no longer needed: idle connections past IdleTimeout, those
// of servers that drain or have left the view, and those above the share. It also starts the
// openings that a backoff had delayed. The daemon calls it about once a second.
func (p *Pool) Sweep(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	wanted := serversOf(v)
	for id, s := range p.servers {
		if !wanted[id] {
			p.retire(s)
			delete(p.servers, id)
			continue
		}
		p.sweepIdle(s, now, v.Draining[id])
		p.openFor(s)
	}
}

func serversOf(v *view.View) map[target.ID]bool {
	m := map[target.ID]bool{}
	for _, g := range v.Groups {
		for i := range g.Servers {
			m[g.Servers[i].ID] = true
		}
	}
	return m
}

// sweepIdle closes the connections of the idle list that are no longer needed, beginning with the
// least recently used one.
func (p *Pool) sweepIdle(s *server, now clock.Time, draining bool) {
	retained := s.idle[:0]
	for _, c := range s.idle {
		timedOut := now.Sub(c.idleSince) >= p.cfg.IdleTimeout
		if timedOut || draining || s.overShare() {
			p.remove(c)
			continue
		}
		retained = append(retained, c)
	}
	s.idle = retained
}

// retire closes the idle connections and refuses all waiters. Connections in use are closed when
// they are released.
func (p *Pool) retire(s *server) {
	s.retired = true
	for _, c := range s.idle {
		p.remove(c)
	}
	s.idle = nil
	s.refuseAll(&UnavailableError{Server: s.id, cause: ErrClosed})
}

// Close closes all idle connections and refuses further requests. Connections in use are closed
// when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		p.retire(s)
	}
}

// Stats holds the counts of one server's connections and waiters.
type Stats struct{ Open, Idle, Opening, Waiting int }

// Stats returns the counts for one server.
func (p *Pool) Stats(id target.ID) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return Stats{}
	}
	return Stats{Open: s.quota.open, Idle: len(s.idle), Opening: s.quota.opening, Waiting: len(s.waiters)}
}

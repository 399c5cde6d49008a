package pool

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Sweep closes what is no longer wanted: idle connections that are old, those
// of servers that drain or left the view, and those above the share. It also
// starts openings that a rest had put off. The daemon calls it about once a
// second.
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

// sweepIdle goes through the list from its oldest end.
func (p *Pool) sweepIdle(s *server, now clock.Time, draining bool) {
	kept := s.idle[:0]
	for _, c := range s.idle {
		old := now.Sub(c.since) >= p.cfg.IdleTimeout
		if old || draining || s.overShare() {
			p.forget(c)
			continue
		}
		kept = append(kept, c)
	}
	s.idle = kept
}

// retire closes the idle connections; those in use are closed when they come
// back.
func (p *Pool) retire(s *server) {
	s.retired = true
	for _, c := range s.idle {
		p.forget(c)
	}
	s.idle = nil
	s.refuseAll(&UnavailableError{Server: s.id, cause: ErrClosed})
}

// Close closes all idle connections and refuses new work. Connections in use
// are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		p.retire(s)
	}
}

// Stats counts one server's connections.
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

package scenario

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// pullInterval is the interval at which a replica pulls new log entries from its primary.
const pullInterval = 5 * time.Millisecond

// entry is one committed transaction in a server's log. Its LSN is its index in the log plus one.
type entry struct {
	term timeline.Term
	call int // id of the call that caused it
	key  string
	row  string
	at   clock.Time
}

// execution is one record of a server's execution log, from which a rewind removes nothing.
type execution struct {
	at   clock.Time
	call int
	term timeline.Term
	lsn  timeline.LSN
}

// server is a fake database server with an asynchronously replicated log.
type server struct {
	*node
	w        *World
	id       target.ID
	zone     string
	role     target.Role
	term     timeline.Term
	promised timeline.Term
	log      []entry
	follows  target.ID
	lag      time.Duration
	executed []execution
	promoted []promotion
}

// promotion records when a server became primary of a term.
type promotion struct {
	at   clock.Time
	term timeline.Term
}

func (w *World) addServer(id target.ID, zone string) *server {
	s := &server{node: w.addNode(string(id)), w: w, id: id, zone: zone, role: target.RoleReplica, term: 1, promised: 1}
	w.servers = append(w.servers, s)
	s.pullLater()
	return s
}

func (w *World) server(id target.ID) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (s *server) status() target.Status {
	return target.Status{
		Server: s.id, Role: s.role, Term: s.logTerm(), Promised: s.promised,
		LSN: timeline.LSN(len(s.log)), Start: s.logStart(),
	}
}

// logTerm returns the term of the newest entry. A promotion begins its term with an entry of its
// own, so a replica belongs to the term once it has copied that entry.
func (s *server) logTerm() timeline.Term {
	if len(s.log) == 0 {
		return 1
	}
	return s.log[len(s.log)-1].term
}

// logStart returns the position at which the newest term began.
func (s *server) logStart() timeline.LSN {
	term := s.logTerm()
	i := slices.IndexFunc(s.log, func(e entry) bool { return e.term == term })
	return timeline.LSN(max(i, 0))
}

func (s *server) refuse(term timeline.Term) error {
	s.w.logf("%s refuses term=%d promised=%d", s.id, term, s.promised)
	return errors.WithStack(&target.FencedError{Server: s.id, CommandTerm: term, Promised: s.promised})
}

func (s *server) fence(term timeline.Term) (target.Status, error) {
	if s.promised > term {
		return target.Status{}, s.refuse(term)
	}
	s.promised = term
	return s.status(), nil
}

func (s *server) promote(term timeline.Term) (target.Status, error) {
	if s.promised != term {
		return target.Status{}, s.refuse(term)
	}
	if s.role == target.RolePrimary && s.term == term {
		return s.status(), nil
	}
	s.role = target.RolePrimary
	s.term = term
	s.log = append(s.log, entry{term: term, at: s.w.now})
	s.follows = ""
	s.promoted = append(s.promoted, promotion{at: s.w.now, term: term})
	return s.status(), nil
}

// follow makes the server a replica of primary. It discards the entries after the newest one that
// both logs share, and returns them.
func (s *server) follow(primary target.ID, term timeline.Term) ([]target.Entry, error) {
	if s.promised > term {
		return nil, s.refuse(term)
	}
	p := s.w.server(primary)
	if !s.reaches(p) || p.role != target.RolePrimary || p.term != term {
		return nil, errors.New("primary not reached")
	}
	common := 0
	for common < min(len(s.log), len(p.log)) && s.log[common] == p.log[common] {
		common++
	}
	var discarded []target.Entry
	for i := common; i < len(s.log); i++ {
		pos := timeline.Position{Term: s.log[i].term, LSN: timeline.LSN(i + 1)}
		discarded = append(discarded, target.Entry{Position: pos, Statement: s.log[i].row})
	}
	s.log = s.log[:common:common]
	s.role = target.RoleReplica
	s.term = term
	s.promised = term
	s.follows = primary
	return discarded, nil
}

func (s *server) reaches(p *server) bool {
	cut := s.w.net.cut
	return p != nil && p.up && !p.paused &&
		!cut[[2]string{s.name, p.name}] && !cut[[2]string{p.name, s.name}]
}

func (s *server) pullLater() { s.w.at(s.w.now.Add(pullInterval), s.pull) }

// pull copies entries that the primary committed at least lag ago. A server accepts nothing from a
// term lower than the one it promised.
func (s *server) pull() {
	defer s.pullLater()
	p := s.w.server(s.follows)
	if p != nil && !s.reaches(p) && p.up && !p.paused && len(p.log) > len(s.log) {
		s.w.effects[effectCut]++
	}
	if !s.up || s.paused || !s.reaches(p) || p.term != s.term || s.promised > p.term {
		return
	}
	for i := len(s.log); i < len(p.log); i++ {
		if s.w.now.Sub(p.log[i].at) < s.lag {
			if s.lag > defaultLag {
				s.w.effects[effectLag]++
			}
			return
		}
		s.log = append(s.log, p.log[i])
	}
}

// commit executes a call's write. It refuses when the server is not primary or has promised a later
// term. A write whose key is in the log already does not run again: the unique row in the target's
// own transaction prevents it.
func (s *server) commit(c *call) (timeline.Position, error) {
	if s.role != target.RolePrimary || s.promised > s.term {
		return timeline.Position{}, s.refuse(s.term)
	}
	if c.key != "" && !s.w.guards.Disabled(GuardKey) {
		for i, e := range s.log {
			if e.key == c.key {
				return timeline.Position{Term: s.term, LSN: timeline.LSN(i + 1)}, nil
			}
		}
	}
	s.log = append(s.log, entry{term: s.term, call: c.id, key: c.key, row: c.row, at: s.w.now})
	lsn := timeline.LSN(len(s.log))
	s.executed = append(s.executed, execution{at: s.w.now, call: c.id, term: s.term, lsn: lsn})
	return timeline.Position{Term: s.term, LSN: lsn}, nil
}

// rows counts the entries of a row.
func (s *server) rows(row string) int {
	n := 0
	for _, e := range s.log {
		if e.row == row {
			n++
		}
	}
	return n
}

package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
)

// plan turns the caller's messages into steps. Statements that were prepared on another connection
// are first prepared on this one, under the caller's names, since the reset between owners
// deallocates them.
func (u *unit) plan(x *exchange) {
	x.size = u.chunk.size
	planned := map[string]bool{}
	for _, m := range u.chunk.msgs {
		if u.skipping {
			break
		}
		u.ensurePrepared(x, m, planned)
		x.add(u.stepFor(m, planned))
	}
	u.endChunk(x)
}

// ensurePrepared adds a Parse for the statement that m refers to, if this connection does not have
// it. A Parse that reuses a name for another statement is sent after the first, so that the target
// refuses it as it would on a direct connection.
func (u *unit) ensurePrepared(x *exchange, m pgproto3.FrontendMessage, planned map[string]bool) {
	name, refers := referencedStatement(m)
	if !refers || u.prepared[name] || planned[name] {
		return
	}
	st := u.s.stmts.byName[name]
	if st == nil {
		return
	}
	planned[name] = true
	x.add(step{msg: st, show: showErrors, onMessage: u.recordPrepared(name)})
}

func referencedStatement(m pgproto3.FrontendMessage) (string, bool) {
	switch m := m.(type) {
	case *pgproto3.Bind:
		return m.PreparedStatement, true
	case *pgproto3.Describe:
		return m.Name, m.ObjectType == 'S'
	case *pgproto3.Parse:
		return m.Name, m.Name != ""
	}
	return "", false
}

func (u *unit) recordPrepared(name string) func(pgproto3.BackendMessage) {
	return func(m pgproto3.BackendMessage) {
		if _, ok := m.(*pgproto3.ParseComplete); ok {
			u.prepared[name] = true
		}
	}
}

// stepFor returns the step for a message of the caller, and updates the records of the caller's
// prepared statements as the target confirms them.
func (u *unit) stepFor(m pgproto3.FrontendMessage, planned map[string]bool) step {
	st := step{msg: m}
	switch m := m.(type) {
	case *pgproto3.Parse:
		planned[m.Name] = true
		st.onMessage = u.recordParse(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			planned[m.Name] = false
			st.onMessage = u.recordClose(m.Name)
		}
	}
	return st
}

func (u *unit) recordParse(p *pgproto3.Parse) func(pgproto3.BackendMessage) {
	return func(m pgproto3.BackendMessage) {
		if _, ok := m.(*pgproto3.ParseComplete); ok {
			u.prepared[p.Name] = true
			u.s.stmts.add(p)
		}
	}
}

func (u *unit) recordClose(name string) func(pgproto3.BackendMessage) {
	return func(m pgproto3.BackendMessage) {
		if _, ok := m.(*pgproto3.CloseComplete); ok {
			delete(u.prepared, name)
			u.s.stmts.drop(name)
		}
	}
}

// endChunk adds the message that ends the chunk, and the status query if the chunk is likely to
// commit.
func (u *unit) endChunk(x *exchange) {
	u.status = statusReader{}
	switch u.chunk.end {
	case endFlush:
		x.add(step{msg: &pgproto3.Flush{}})
		return
	case endSync:
		x.add(step{msg: &pgproto3.Sync{}})
	}
	if u.likelyCommits() {
		x.add(u.status.step())
	}
	u.reset = u.certainlyIdleAfter()
	x.reset = u.reset
}

// certainlyIdleAfter reports whether the connection is free after the chunk, whatever the target
// answers: no status query will follow, and no statement can open a transaction. After a Flush the
// chunk may execute a statement that was bound before it, so nothing is certain.
func (u *unit) certainlyIdleAfter() bool {
	if u.open || u.flushed || u.r.Explicit || (u.r.OnPrimary() && u.r.IsRead()) {
		return false
	}
	for _, st := range u.s.statements(u.chunk) {
		if st.control || !st.single {
			return false
		}
	}
	return true
}

// likelyCommits predicts whether the chunk commits. A wrong prediction costs a round trip or a
// needless status query but never affects the result: applyCommandTags and findPosition use what
// the target reports.
func (u *unit) likelyCommits() bool {
	if !u.r.OnPrimary() || u.r.IsRead() || !u.r.Executes {
		return false
	}
	statements := u.s.statements(u.chunk)
	if len(statements) == 0 {
		return false
	}
	if u.open {
		return statements[len(statements)-1].ends()
	}
	return !u.r.Explicit
}

// newRequest describes the chunk for the filter chain.
func (s *caller) newRequest(w *work) (*filter.Request, *outcome.Error) {
	statements := s.statements(w.chunk)
	tags, oerr := readTags(statements)
	if oerr != nil {
		return nil, oerr
	}
	r := &filter.Request{
		ID:       s.srv.request.Add(1),
		Session:  &s.state,
		Clock:    s.srv.cfg.Clock,
		Start:    s.srv.cfg.Clock.Now(),
		Tags:     tags,
		Executes: w.chunk.executes(),
		Work:     w,
	}
	r.Explicit = r.Executes && len(statements) > 0 && statements[0].opens()
	if r.Executes && !s.pendingTag.IsZero() {
		r.Tags = append(r.Tags, s.pendingTag)
		s.pendingTag = filter.Tag{}
	}
	r.Load(s.srv.cfg.View)
	return r, nil
}

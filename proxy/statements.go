package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/outcome"
)

// preparedSet holds a caller's prepared statements, by name. They outlive the
// connections that they were prepared on.
type preparedSet struct {
	byName map[string]*pgproto3.Parse
	bytes  int
}

func newPreparedSet() preparedSet {
	return preparedSet{byName: map[string]*pgproto3.Parse{}}
}

func (st *preparedSet) add(p *pgproto3.Parse) {
	st.drop(p.Name)
	st.byName[p.Name] = p
	st.bytes += len(p.Query)
}

func (st *preparedSet) drop(name string) {
	if old := st.byName[name]; old != nil {
		st.bytes -= len(old.Query)
		delete(st.byName, name)
	}
}

// checkStatements refuses a chunk that could exceed the limits on prepared statements.
//
// Failure guarded against: a driver that prepares every statement under a new name and closes none
// fills the proxy's memory, which affects all other callers.
func (s *caller) checkStatements(c *chunk) error {
	count, bytes := len(s.stmts.byName), s.stmts.bytes
	for _, m := range c.msgs {
		if p, ok := m.(*pgproto3.Parse); ok {
			count, bytes = count+1, bytes+len(p.Query)
		}
	}
	limits := s.srv.cfg.Limits
	if count > limits.MaxStatements || bytes > limits.MaxStatementBytes {
		return refuse(outcome.CodeProgramLimit, "too many prepared statements: close those that are not needed")
	}
	return nil
}

// statements returns the statements that the chunk runs, in order, or those that it prepares if it
// runs none. The result is cached in the chunk.
func (s *caller) statements(c *chunk) []statement {
	if c.read {
		return c.statements
	}
	c.read = true
	for _, t := range s.statementTexts(c) {
		c.statements = append(c.statements, newStatement(t))
	}
	return c.statements
}

func (s *caller) statementTexts(c *chunk) []string {
	var run, prepared []string
	var local map[string]string
	for _, m := range c.msgs {
		switch m := m.(type) {
		case *pgproto3.Query:
			run = append(run, m.String)
		case *pgproto3.Parse:
			if local == nil {
				local = map[string]string{}
			}
			local[m.Name] = m.Query
			prepared = append(prepared, m.Query)
		case *pgproto3.Bind:
			run = append(run, s.textOf(m.PreparedStatement, local))
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				prepared = append(prepared, s.textOf(m.Name, local))
			}
		}
	}
	if len(run) > 0 {
		return run
	}
	return prepared
}

func (s *caller) textOf(name string, local map[string]string) string {
	if q, ok := local[name]; ok {
		return q
	}
	if st := s.stmts.byName[name]; st != nil {
		return st.Query
	}
	return ""
}

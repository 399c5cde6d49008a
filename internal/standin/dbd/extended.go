package dbd

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// Kinds of objects in Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// prepared is a prepared statement. Its text is checked only when it is described or first run.
type prepared struct {
	sql  string
	oids []uint32
}

// portal is a prepared statement with its parameters and, after it has run, its result.
type portal struct {
	stmt    *prepared
	args    []Value
	formats []int16
	cols    []column
	res     *result
	// sent counts the rows that were sent before a suspension.
	sent int
}

func (x *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && x.statements[m.Name] != nil {
		return sqlErrorf(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	parts := split(m.Query)
	if len(parts) > 1 {
		return sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(parts) == 1 {
		p.sql = parts[0]
	}
	p.oids = make([]uint32, max(parameters(p.sql), len(m.ParameterOIDs)))
	copy(p.oids, m.ParameterOIDs)
	x.statements[m.Name] = p
	x.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (x *session) statement(name string) (*prepared, error) {
	p := x.statements[name]
	if p == nil {
		return nil, sqlErrorf(codeInvalidStatement, "prepared statement %q does not exist", name)
	}
	return p, nil
}

func (x *session) portal(name string) (*portal, error) {
	p := x.portals[name]
	if p == nil {
		return nil, sqlErrorf(codeInvalidCursor, "portal %q does not exist", name)
	}
	return p, nil
}

func (x *session) bind(m *pgproto3.Bind) error {
	stmt, err := x.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(stmt.oids) {
		return sqlErrorf(codeProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(stmt.oids))
	}
	p := &portal{stmt: stmt, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		v, err := decode(x.types, stmt.oids[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return sqlErrorf(codeInvalidParameter, "parameter $%d: %s", i+1, err)
		}
		p.args = append(p.args, v)
	}
	x.portals[m.DestinationPortal] = p
	x.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (x *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == objectPortal {
		p, err := x.portal(m.Name)
		if err != nil {
			return err
		}
		if p.cols, err = x.columns(p.stmt.sql); err != nil {
			return err
		}
		x.sendDescription(p.cols, p.formats)
		return nil
	}
	stmt, err := x.statement(m.Name)
	if err != nil {
		return err
	}
	cols, err := x.columns(stmt.sql)
	if err != nil {
		return err
	}
	x.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: stmt.oids})
	x.sendDescription(cols, nil)
	return nil
}

func (x *session) sendDescription(cols []column, formats []int16) {
	if len(cols) == 0 {
		x.be.Send(&pgproto3.NoData{})
		return
	}
	x.be.Send(rowDescription(cols, formats))
}

// execute runs a portal, or continues one that was suspended.
func (x *session) execute(m *pgproto3.Execute) error {
	p, err := x.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.stmt.sql == "" {
		x.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.res == nil {
		if p.res, err = x.run(Statement{SQL: p.stmt.sql, Args: p.args}); err != nil {
			return err
		}
	}
	return x.sendRows(p, int(m.MaxRows))
}

// sendRows sends up to limit rows; zero means all.
func (x *session) sendRows(p *portal, limit int) error {
	end := len(p.res.rows)
	if limit > 0 {
		end = min(end, p.sent+limit)
	}
	cols := p.res.cols
	if len(p.cols) == len(cols) {
		cols = p.cols
	}
	for ; p.sent < end; p.sent++ {
		d, err := dataRow(x.types, cols, p.res.rows[p.sent], p.formats)
		if err != nil {
			return err
		}
		x.be.Send(d)
	}
	if end < len(p.res.rows) {
		x.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	x.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.res.tag)})
	return nil
}

func (x *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == objectStatement {
		delete(x.statements, m.Name)
	} else {
		delete(x.portals, m.Name)
	}
	x.be.Send(&pgproto3.CloseComplete{})
}

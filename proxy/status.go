package proxy

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// statusQuery returns the status report of a target.
const statusQuery = "SELECT * FROM endivemoor_status()"

// statusReader reads the answer to statusQuery.
type statusReader struct {
	columns []string
	row     map[string]string
}

// step returns the status query as a step whose answer is not forwarded to the caller.
func (r *statusReader) step() step {
	return step{msg: &pgproto3.Query{String: statusQuery}, show: showNothing, onMessage: r.handleMessage}
}

func (r *statusReader) handleMessage(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.RowDescription:
		r.columns = nil
		for _, f := range m.Fields {
			r.columns = append(r.columns, string(f.Name))
		}
	case *pgproto3.DataRow:
		r.row = map[string]string{}
		for i, v := range m.Values {
			if i < len(r.columns) {
				r.row[r.columns[i]] = string(v)
			}
		}
	}
}

// answered reports whether the target returned a status report.
func (r *statusReader) answered() bool { return r.row != nil }

func (r *statusReader) status() (target.Status, error) {
	var firstErr error
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(r.row[name], 10, 64)
		if err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "status column %q", name)
		}
		return n
	}
	st := target.Status{
		Server:   target.ID(r.row["server"]),
		Role:     roleOf(r.row["role"]),
		Term:     timeline.Term(number("term")),
		Promised: timeline.Term(number("promised")),
		LSN:      timeline.LSN(number("lsn")),
		Start:    timeline.LSN(number("start_lsn")),
	}
	return st, firstErr
}

func roleOf(name string) target.Role {
	for _, r := range []target.Role{target.RolePrimary, target.RoleReplica} {
		if r.String() == name {
			return r
		}
	}
	return target.RoleUnknown
}

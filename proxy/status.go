package proxy

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// statusQuery asks a target for its account of itself.
const statusQuery = "SELECT * FROM endivemoor_status()"

// statusReader reads the answer to statusQuery.
type statusReader struct {
	columns []string
	row     map[string]string
}

// step returns the question as a step that the caller never sees.
func (r *statusReader) step() step {
	return step{msg: &pgproto3.Query{String: statusQuery}, show: showNever, on: r.take}
}

func (r *statusReader) take(m pgproto3.BackendMessage) {
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

// answered reports whether the target gave an account.
func (r *statusReader) answered() bool { return r.row != nil }

func (r *statusReader) status() (target.Status, error) {
	var bad error
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(r.row[name], 10, 64)
		if err != nil && bad == nil {
			bad = errors.Wrapf(err, "status column %q", name)
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
	return st, bad
}

func roleOf(name string) target.Role {
	for _, r := range []target.Role{target.RolePrimary, target.RoleReplica} {
		if r.String() == name {
			return r
		}
	}
	return target.RoleUnknown
}

package pgtarget

import (
	"strconv"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// statusColumns is the number of columns of a status row: server, role, term, promised, lsn,
// start_lsn.
const statusColumns = 6

// entryColumns is the number of columns of a discarded entry's row: term, lsn, statement.
const entryColumns = 3

// roles maps the names on the wire to roles.
var roles = map[string]target.Role{
	target.RolePrimary.String(): target.RolePrimary,
	target.RoleReplica.String(): target.RoleReplica,
}

func parseStatus(row [][]byte) (target.Status, error) {
	if len(row) != statusColumns {
		return target.Status{}, errors.Errorf("got %d columns, want %d", len(row), statusColumns)
	}
	n, err := numbers(row[2:])
	if err != nil {
		return target.Status{}, err
	}
	return target.Status{
		Server:   target.ID(row[0]),
		Role:     roles[string(row[1])],
		Term:     timeline.Term(n[0]),
		Promised: timeline.Term(n[1]),
		LSN:      timeline.LSN(n[2]),
		Start:    timeline.LSN(n[3]),
	}, nil
}

func parseEntry(row [][]byte) (target.Entry, error) {
	if len(row) != entryColumns {
		return target.Entry{}, errors.Errorf("got %d columns, want %d", len(row), entryColumns)
	}
	n, err := numbers(row[:2])
	if err != nil {
		return target.Entry{}, err
	}
	return target.Entry{
		Position:  timeline.Position{Term: timeline.Term(n[0]), LSN: timeline.LSN(n[1])},
		Statement: string(row[2]),
	}, nil
}

func numbers(cells [][]byte) ([]uint64, error) {
	out := make([]uint64, len(cells))
	for i, c := range cells {
		n, err := strconv.ParseUint(string(c), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse number in a control row")
		}
		out[i] = n
	}
	return out, nil
}

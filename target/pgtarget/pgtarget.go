// Package pgtarget drives one database server's control interface over the
// PostgreSQL protocol.
//
// Each order of target.Database is one SQL statement, so that no second
// protocol or port is needed. docs/DATABASE.md lists the functions that a real
// PostgreSQL must have installed for it. A Database keeps one connection, which
// it opens when it is first needed and again after a failure. Calls from
// several goroutines queue for it.
package pgtarget

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// ApplicationName marks control connections, which a server may exempt
	// from its limit.
	ApplicationName = "endivemoor-control"

	// codeRefused is object_not_in_prerequisite_state: an order was refused.
	codeRefused = "55000"
	// promisedPrefix starts the DETAIL of a refusal because of a promise.
	promisedPrefix = "promised="
)

// The control functions, one statement each.
const (
	statusName   = "s"
	statusQuery  = "SELECT * FROM endivemoor_status()"
	fenceQuery   = "SELECT * FROM endivemoor_fence($1)"
	promoteQuery = "SELECT * FROM endivemoor_promote($1)"
	followQuery  = "SELECT * FROM endivemoor_follow($1, $2)"
)

// Database is the control connection to one server. It implements
// target.Database.
type Database struct {
	id     target.ID
	config *pgconn.Config
	// turn holds one token: the right to use conn.
	turn chan struct{}
	conn *pgconn.PgConn
	// status is the status query as conn has prepared it; nil if it has not.
	status *pgconn.StatementDescription
}

var _ target.Database = (*Database)(nil)

// New returns a Database that connects when it is first used. It fails only
// when connString, a PostgreSQL URL or key=value list, is malformed.
func New(id target.ID, connString string) (*Database, error) {
	cfg, err := pgconn.ParseConfig(connString)
	if err != nil {
		return nil, errors.Wrapf(err, "connection string of server %s", id)
	}
	if cfg.RuntimeParams["application_name"] == "" {
		cfg.RuntimeParams["application_name"] = ApplicationName
	}
	return &Database{id: id, config: cfg, turn: make(chan struct{}, 1)}, nil
}

// Dial is New, and connects at once.
func Dial(ctx context.Context, id target.ID, connString string) (target.Database, error) {
	return DialBy(ctx, id, connString, nil)
}

// DialBy is Dial over connections that dial opens; nil takes the usual ones.
func DialBy(ctx context.Context, id target.ID, connString string, dial pgconn.DialFunc) (target.Database, error) {
	d, err := New(id, connString)
	if err != nil {
		return nil, err
	}
	if dial != nil {
		d.config.DialFunc = dial
	}
	if d.conn, err = pgconn.ConnectConfig(ctx, d.config); err != nil {
		return nil, errors.Wrapf(err, "connect to server %s", id)
	}
	return d, nil
}

// Status implements target.Database.
func (d *Database) Status(ctx context.Context) (target.Status, error) {
	return d.orderStatus(ctx, 0, statusQuery)
}

// Fence implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Fence(ctx context.Context, term timeline.Term) (target.Status, error) {
	return d.orderStatus(ctx, term, fenceQuery, termText(term))
}

// Promote implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Promote(ctx context.Context, term timeline.Term) (target.Status, error) {
	return d.orderStatus(ctx, term, promoteQuery, termText(term))
}

// Follow implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Follow(ctx context.Context, primary string, term timeline.Term) ([]target.Entry, error) {
	rows, err := d.order(ctx, term, followQuery, primary, termText(term))
	if err != nil {
		return nil, err
	}
	out := make([]target.Entry, 0, len(rows))
	for _, row := range rows {
		e, err := parseEntry(row)
		if err != nil {
			return nil, errors.Wrapf(err, "discarded entry from server %s", d.id)
		}
		out = append(out, e)
	}
	return out, nil
}

// Close implements target.Database.
func (d *Database) Close(ctx context.Context) error {
	if err := d.take(ctx); err != nil {
		return err
	}
	defer d.give()
	if d.conn == nil {
		return nil
	}
	err := d.conn.Close(ctx)
	d.conn = nil
	return errors.Wrapf(err, "close the connection to server %s", d.id)
}

func (d *Database) take(ctx context.Context) error {
	select {
	case d.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the connection to server %s", d.id)
	}
}

func (d *Database) give() { <-d.turn }

func (d *Database) orderStatus(ctx context.Context, term timeline.Term, query string, args ...string) (target.Status, error) {
	rows, err := d.order(ctx, term, query, args...)
	if err != nil {
		return target.Status{}, err
	}
	if len(rows) != 1 {
		return target.Status{}, errors.Errorf("server %s answered %d rows of status", d.id, len(rows))
	}
	s, err := parseStatus(rows[0])
	return s, errors.Wrapf(err, "status of server %s", d.id)
}

// order gives one order. When a connection that was kept turns out to be
// broken, the order is given once more over a new one: every order is
// idempotent, so it does not matter whether the first arrived.
func (d *Database) order(ctx context.Context, term timeline.Term, query string, args ...string) ([][][]byte, error) {
	if err := d.take(ctx); err != nil {
		return nil, err
	}
	defer d.give()
	kept := d.conn != nil && !d.conn.IsClosed()
	rows, err := d.attempt(ctx, query, args)
	if err != nil && kept && d.conn.IsClosed() && ctx.Err() == nil {
		rows, err = d.attempt(ctx, query, args)
	}
	return rows, d.typed(err, term)
}

func (d *Database) attempt(ctx context.Context, query string, args []string) ([][][]byte, error) {
	if d.conn == nil || d.conn.IsClosed() {
		conn, err := pgconn.ConnectConfig(ctx, d.config)
		if err != nil {
			return nil, err
		}
		d.conn, d.status = conn, nil
	}
	if query == statusQuery {
		return d.askStatus(ctx)
	}
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	res := d.conn.ExecParams(ctx, query, params, nil, nil, nil).Read()
	return res.Rows, res.Err
}

// askStatus asks by a prepared statement. It is asked many times a second on
// each control connection, and the description of its columns would be over half
// of the bytes. A server that no longer takes the prepared form, as after a
// change of the function, costs the connection; the next one prepares anew.
func (d *Database) askStatus(ctx context.Context) ([][][]byte, error) {
	if d.status == nil {
		prepared, err := d.conn.Prepare(ctx, statusName, statusQuery, nil)
		if err != nil {
			return nil, err
		}
		d.status = prepared
	}
	res := d.conn.ExecStatement(ctx, d.status, nil, nil, nil).Read()
	if res.Err != nil {
		_ = d.conn.Close(ctx)
	}
	return res.Rows, res.Err
}

// typed turns a refusal into a *target.FencedError and names the server in any
// other error.
func (d *Database) typed(err error, ordered timeline.Term) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != codeRefused {
		return errors.Wrapf(err, "server %s", d.id)
	}
	text, ok := strings.CutPrefix(pgErr.Detail, promisedPrefix)
	promised, perr := strconv.ParseUint(text, 10, 64)
	if !ok || perr != nil {
		return errors.Wrapf(err, "server %s", d.id)
	}
	return &target.FencedError{Server: d.id, Ordered: ordered, Promised: timeline.Term(promised)}
}

func termText(t timeline.Term) string { return strconv.FormatUint(uint64(t), 10) }

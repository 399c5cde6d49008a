// Package pgtarget implements target.Database, the control interface of one database server, over
// the PostgreSQL protocol. Begin with Dial and Database.
//
// Each command of target.Database is one SQL statement, so that no second protocol or port is
// needed. docs/DATABASE.md lists the functions that must be installed in a real PostgreSQL for
// this. A Database has one connection, which it opens on first use and again after a failure.
// Concurrent calls wait for the connection. The package does not run callers' statements.
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
	// ApplicationName marks control connections, which a server may exempt from its connection
	// limit.
	ApplicationName = "endivemoor-control"

	// codeRefused is object_not_in_prerequisite_state: the server refused a command.
	codeRefused = "55000"
	// promisedPrefix starts the DETAIL of a refusal that is due to a promised term.
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
	// connSlot is a semaphore of capacity one; its holder may use conn.
	connSlot chan struct{}
	conn     *pgconn.PgConn
	// status is the status query as prepared on conn; nil if it is not prepared.
	status *pgconn.StatementDescription
}

var _ target.Database = (*Database)(nil)

// New returns a Database that connects on first use. It fails only if connString, a PostgreSQL URL
// or key=value list, is malformed.
func New(id target.ID, connString string) (*Database, error) {
	cfg, err := pgconn.ParseConfig(connString)
	if err != nil {
		return nil, errors.Wrapf(err, "parse connection string of server %s", id)
	}
	if cfg.RuntimeParams["application_name"] == "" {
		cfg.RuntimeParams["application_name"] = ApplicationName
	}
	return &Database{id: id, config: cfg, connSlot: make(chan struct{}, 1)}, nil
}

// Dial returns a connected Database.
func Dial(ctx context.Context, id target.ID, connString string) (target.Database, error) {
	return DialBy(ctx, id, connString, nil)
}

// DialBy returns a Database that is connected through dial; if dial is nil, the default dial
// function is used.
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
	return d.runForStatus(ctx, 0, statusQuery)
}

// Fence implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Fence(ctx context.Context, term timeline.Term) (target.Status, error) {
	return d.runForStatus(ctx, term, fenceQuery, termText(term))
}

// Promote implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Promote(ctx context.Context, term timeline.Term) (target.Status, error) {
	return d.runForStatus(ctx, term, promoteQuery, termText(term))
}

// Follow implements target.Database. A refusal is a *target.FencedError.
func (d *Database) Follow(ctx context.Context, primary string, term timeline.Term) ([]target.Entry, error) {
	rows, err := d.run(ctx, term, followQuery, primary, termText(term))
	if err != nil {
		return nil, err
	}
	out := make([]target.Entry, 0, len(rows))
	for _, row := range rows {
		e, err := parseEntry(row)
		if err != nil {
			return nil, errors.Wrapf(err, "parse discarded entry of server %s", d.id)
		}
		out = append(out, e)
	}
	return out, nil
}

// Close implements target.Database.
func (d *Database) Close(ctx context.Context) error {
	if err := d.acquire(ctx); err != nil {
		return err
	}
	defer d.release()
	if d.conn == nil {
		return nil
	}
	err := d.conn.Close(ctx)
	d.conn = nil
	return errors.Wrapf(err, "close the connection to server %s", d.id)
}

func (d *Database) acquire(ctx context.Context) error {
	select {
	case d.connSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the connection to server %s", d.id)
	}
}

func (d *Database) release() { <-d.connSlot }

func (d *Database) runForStatus(ctx context.Context, term timeline.Term, query string, args ...string) (target.Status, error) {
	rows, err := d.run(ctx, term, query, args...)
	if err != nil {
		return target.Status{}, err
	}
	if len(rows) != 1 {
		return target.Status{}, errors.Errorf("server %s returned %d status rows, want 1", d.id, len(rows))
	}
	s, err := parseStatus(rows[0])
	return s, errors.Wrapf(err, "parse status row of server %s", d.id)
}

// run executes one command. If a reused connection turns out to be broken, the command is executed
// once more over a new one: every command is idempotent, so it does not matter whether the first
// one arrived.
func (d *Database) run(ctx context.Context, term timeline.Term, query string, args ...string) ([][][]byte, error) {
	if err := d.acquire(ctx); err != nil {
		return nil, err
	}
	defer d.release()
	reused := d.conn != nil && !d.conn.IsClosed()
	rows, err := d.runOnce(ctx, query, args)
	if err != nil && reused && d.conn.IsClosed() && ctx.Err() == nil {
		rows, err = d.runOnce(ctx, query, args)
	}
	return rows, d.wrapError(err, term)
}

func (d *Database) runOnce(ctx context.Context, query string, args []string) ([][][]byte, error) {
	if d.conn == nil || d.conn.IsClosed() {
		conn, err := pgconn.ConnectConfig(ctx, d.config)
		if err != nil {
			return nil, err
		}
		d.conn, d.status = conn, nil
	}
	if query == statusQuery {
		return d.queryStatus(ctx)
	}
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	res := d.conn.ExecParams(ctx, query, params, nil, nil, nil).Read()
	return res.Rows, res.Err
}

// queryStatus executes the status query as a prepared statement, because it runs many times a
// second on each control connection, and the description of its columns would be over half of the
// bytes. If the server no longer accepts the prepared statement, for example after a change of the
// function, the connection is closed, and the next connection prepares the statement again.
func (d *Database) queryStatus(ctx context.Context) ([][][]byte, error) {
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

// wrapError converts a refusal into a *target.FencedError and adds the server's name to any other
// error.
func (d *Database) wrapError(err error, commandTerm timeline.Term) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != codeRefused {
		return errors.Wrapf(err, "server %s", d.id)
	}
	promisedText, ok := strings.CutPrefix(pgErr.Detail, promisedPrefix)
	promised, perr := strconv.ParseUint(promisedText, 10, 64)
	if !ok || perr != nil {
		return errors.Wrapf(err, "server %s", d.id)
	}
	return &target.FencedError{Server: d.id, CommandTerm: commandTerm, Promised: timeline.Term(promised)}
}

func termText(t timeline.Term) string { return strconv.FormatUint(uint64(t), 10) }

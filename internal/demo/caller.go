package demo

import (
	"context"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

const (
	profileParam = "endivemoor.profile"
	sessionParam = "endivemoor.session"
)

// connect opens a caller's connection to the i-th daemon, with the session token unless it is
// empty.
func (d *demo) connect(ctx context.Context, i int, token string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + d.Callers[i] + "/" + d.Group + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse connection string of the daemon")
	}
	cfg.User = d.User
	cfg.Password = d.Password
	cfg.RuntimeParams[profileParam] = d.Profile
	if token != "" {
		cfg.RuntimeParams[sessionParam] = token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// tagged prefixes sql with the request's kind and with its key, unless the key is empty.
func tagged(kind, key, sql string) string {
	tag := "kind=" + kind
	if key != "" {
		tag += "&key=" + key
	}
	return "/*endivemoor " + tag + "*/ " + sql
}

// purchase buys the pass id with the request key through conn.
func purchase(ctx context.Context, conn *pgx.Conn, key, id string) error {
	const insert = "INSERT INTO passes(id, flight, price) VALUES ($1, 'SK101', '12')"
	_, err := conn.Exec(ctx, tagged("purchase", key, insert), pgx.QueryExecModeExec, id)
	return errors.Wrap(err, "purchase pass "+id)
}

// count returns the number of passes with the id, in a read of kind balance.
func count(ctx context.Context, conn *pgx.Conn, id string) (string, error) {
	const query = "SELECT count(*) FROM passes WHERE id = $1"
	var n string
	err := conn.QueryRow(ctx, tagged("balance", "", query), pgx.QueryExecModeExec, id).Scan(&n)
	return n, errors.Wrap(err, "count rows of pass "+id)
}

// expectOne returns an error unless the pass exists exactly once.
func expectOne(ctx context.Context, conn *pgx.Conn, id string) error {
	n, err := count(ctx, conn, id)
	if err != nil {
		return err
	}
	if n != "1" {
		return errors.Errorf("count rows of pass %s: got %s, want 1", id, n)
	}
	return nil
}

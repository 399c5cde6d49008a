package pool

import (
	"context"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/view"
)

// NewDialer returns a Dialer that logs in with the user, password, database and TLS settings of
// connString. Host and port come from the view, whatever server connString names. pgconn provides
// SCRAM and TLS; there is no fallback from TLS to plain text.
func NewDialer(connString string) (Dialer, error) {
	base, err := pgconn.ParseConfig(connString)
	if err != nil {
		return nil, errors.Wrap(err, "target connection string")
	}
	return func(ctx context.Context, srv *view.Server) (*pgconn.HijackedConn, error) {
		cfg := base.Copy()
		if err := setAddr(cfg, srv.Addr); err != nil {
			return nil, err
		}
		return dial(ctx, cfg)
	}, nil
}

func setAddr(cfg *pgconn.Config, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrap(err, "server address")
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return errors.Wrap(err, "server port")
	}
	cfg.Host, cfg.Port = host, uint16(n)
	cfg.Fallbacks = nil
	if cfg.TLSConfig != nil {
		cfg.TLSConfig = cfg.TLSConfig.Clone()
		cfg.TLSConfig.ServerName = host
	}
	return nil
}

func dial(ctx context.Context, cfg *pgconn.Config) (*pgconn.HijackedConn, error) {
	c, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	raw, err := c.Hijack()
	return raw, errors.Wrap(err, "take over connection")
}

package daemon

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/settings"
)

// An operator asks for TLS to the database servers. A login that fell back to
// clear text would show its password's proof and every purchase to the network.
func TestTargetLoginAsksForTLSWithoutFallback(t *testing.T) {
	d := &daemon{set: &settings.Settings{Targets: settings.Targets{User: "e", Password: "p@ss/word", TLS: "require"}}}
	cfg, err := pgconn.ParseConfig(d.connString("127.0.0.1:5432", controlDatabase))
	require.NoError(t, err)
	require.NotNil(t, cfg.TLSConfig)
	require.Empty(t, cfg.Fallbacks)
	require.Equal(t, "p@ss/word", cfg.Password)

	d.set.Targets.TLS = "disable"
	cfg, err = pgconn.ParseConfig(d.connString("127.0.0.1:5432", controlDatabase))
	require.NoError(t, err)
	require.Nil(t, cfg.TLSConfig)
}

package daemon

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/settings"
)

// An operator requires TLS to the database servers. If the login fell back to clear text, the
// network could read the proof of the password and every purchase.
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

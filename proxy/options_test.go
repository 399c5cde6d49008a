package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A service on libpq can name its profile in the options parameter only. Failure guarded against:
// the parameter is ignored, and no PostgreSQL client but pgx can name a profile (seen with psql).
func TestOptionsParameterNamesProfileAndToken(t *testing.T) {
	got, oerr := startupParams(map[string]string{
		"user": "app", "options": "-c endivemoor.profile=passes -c endivemoor.session=a.b=;c",
	})
	require.Nil(t, oerr)
	require.Equal(t, "passes", got[paramProfile])
	require.Equal(t, "a.b=;c", got[paramToken])
	require.Equal(t, "app", got[paramUser])

	got, oerr = startupParams(map[string]string{paramProfile: "p", "options": "-cendivemoor.profile=q"})
	require.Nil(t, oerr)
	require.Equal(t, "p", got[paramProfile])
}

func TestOtherOptionsAreRefused(t *testing.T) {
	for _, text := range []string{"-f s", "--geqo=off", "passes", "-c", "--help", "-c x"} {
		_, oerr := startupParams(map[string]string{"options": text})
		require.NotNil(t, oerr, text)
	}
}

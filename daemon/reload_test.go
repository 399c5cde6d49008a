package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/settings"
)

const goodSettings = `[vm]
id = p1
zone = z1
zones = z1
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
admin = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
[targets]
user = endivemoor
[session-keys]
active = k1
k1 = 0123456789abcdef0123456789abcdef
[users]
app = SECRET
`

func writeSettings(t *testing.T, path, text string) {
	secret, err := scramSecret("pw")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(text, "SECRET", secret)), 0o600))
}

// An operator rotates the session key and mistypes a user's secret in the same edit. If only part
// of the file were applied, callers could lose access, so nothing of the file is applied. The
// corrected file is applied as a whole, and tokens of the previous key still verify.
func TestReloadTakesAllOrNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "p.ini")
	writeSettings(t, path, goodSettings)
	s, err := settings.Load(path)
	require.NoError(t, err)
	d := &daemon{set: s, log: zap.NewNop(), level: zap.NewAtomicLevel()}
	require.NoError(t, d.buildAuth())
	token, err := d.tokens.Issue("app", session.Watermarks{}, time.Now())
	require.NoError(t, err)

	rotated := strings.Replace(goodSettings, "active = k1", "active = k2\nk2 = fedcba9876543210fedcba9876543210", 1)
	writeSettings(t, path, strings.Replace(rotated, "SECRET", "SCRAM-SHA-256$broken", 1))
	d.reload(path)
	_, known := d.users.Lookup("app")
	require.True(t, known, "the previous users are retained")

	writeSettings(t, path, strings.Replace(rotated, "app =", "shop =", 1))
	d.reload(path)
	_, known = d.users.Lookup("shop")
	require.True(t, known)
	_, err = d.tokens.Verify(token, "app", time.Now())
	require.NoError(t, err, "a token of the key that was rotated out still verifies")
}

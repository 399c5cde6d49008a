package edge

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/logging"
	"endivemoor.example/endivemoor/platform/boot"
)

const settingsText = `node = "edge-1"
zone = "a"
%s
[listen]
front = "10.1.0.1:1"
ready = "10.1.0.1:2"
[platform]
addr = "10.200.0.1:1"
[cloud-api]
addr = "10.200.0.2:1"
`

// The platform changes the settings of some VMs before those of others, and tells them
// by a signal. Were a VM to take over the new bounds at once, a request would be served
// here and refused there. It goes on as it has started, and its log says what waits.
func TestReloadedSettingsChangeNoRequestsFate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	write := func(more string) *boot.Settings {
		text := []byte(string(bytes.Replace([]byte(settingsText), []byte("%s"), []byte(more), 1)))
		require.NoError(t, os.WriteFile(path, text, 0o600))
		s, err := boot.Parse(path, text)
		require.NoError(t, err)
		return s
	}
	t.Setenv(boot.Variable, path)
	var log bytes.Buffer
	e := &Edge{set: write(""), log: logging.New(&log, zap.NewAtomicLevel())}
	before := *e.set
	write("heartbeat-ms = 7\nbootstrap = true")
	e.reload()
	require.Equal(t, before, *e.set)
	require.Contains(t, log.String(), "settings-reloaded")
	require.Contains(t, log.String(), "heartbeat-ms")
	require.Contains(t, log.String(), "bootstrap")

	log.Reset()
	require.NoError(t, os.WriteFile(path, []byte("node = "), 0o600))
	e.reload()
	require.Equal(t, before, *e.set)
	require.Contains(t, log.String(), "settings-refused")
}

package edge

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/logging"
	"endivemoor.example/endivemoor/platform/boot"
)

// Guards against: a request whose result depends on whether its VM has reloaded its settings.
func TestReloadedSettingsChangeNoRequestsFate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	t.Setenv(boot.Variable, path)
	write := func(s boot.Settings) {
		var text bytes.Buffer
		require.NoError(t, toml.NewEncoder(&text).Encode(s))
		require.NoError(t, os.WriteFile(path, text.Bytes(), 0o600))
	}
	settings := boot.Settings{
		Node: "edge-1", Zone: "a", Listen: boot.Listen{Consumers: "10.1.0.1:1", Ready: "10.1.0.1:2"},
		Platform: boot.Platform{Addr: "10.200.0.1:1"}, Duty: boot.Duty{Addr: "10.200.0.2:1"},
	}
	var log bytes.Buffer
	e := &Edge{settings: &settings, log: logging.New(&log, zap.NewAtomicLevel())}
	before, next := settings, settings
	next.HeartbeatMS, next.FirstStart = 7, true
	write(next)
	e.reload()
	require.Equal(t, before, *e.settings)
	require.Contains(t, log.String(), "settings-reloaded")
	changed := boot.Differences(&settings, &next)
	require.Len(t, changed, 2)
	for _, field := range changed {
		require.Contains(t, log.String(), field)
	}

	log.Reset()
	require.NoError(t, os.WriteFile(path, []byte("node = "), 0o600))
	e.reload()
	require.Equal(t, before, *e.settings)
	require.Contains(t, log.String(), "settings-refused")
}

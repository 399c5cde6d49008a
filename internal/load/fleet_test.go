package load

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/settings"
)

// Failure guarded against: in the largest fleet that the tool can write, a daemon rejects its
// settings file, or two processes have the same port.
func TestLargestFleetHasValidSettingsAndDistinctPorts(t *testing.T) {
	f := &Fleet{Daemons: portsPerKind, Groups: portsPerKind / serversPerGroup, Zones: 6, FirstPort: 9000,
		Heartbeat: 100e6, SuspectAfter: 500e6, Dir: t.TempDir()}
	require.NoError(t, f.Run(t.Context(), io.Discard))
	files, err := filepath.Glob(filepath.Join(f.Dir, "proxy*.ini"))
	require.NoError(t, err)
	require.Len(t, files, f.Daemons)
	used := map[string]bool{f.addr(0, 0): true}
	use := func(addr string) {
		require.False(t, used[addr], addr)
		used[addr] = true
	}
	for _, file := range files {
		s, err := settings.Load(file)
		require.NoError(t, err)
		use(s.Listen.Callers)
		use(s.Listen.Peers)
		use(s.Listen.Admin)
	}
	for n := range f.Groups {
		for i := range serversPerGroup {
			use(f.addr(serverPortOffset, serversPerGroup*n+i))
			use(f.addr(serverPortOffset+controlPortOffset, serversPerGroup*n+i))
		}
	}
	require.Error(t, (&Fleet{Daemons: portsPerKind + 1, Groups: 1, Zones: 1, Dir: f.Dir}).Run(t.Context(), io.Discard))
}

package load

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/settings"
)

// A developer starts the greatest fleet that the tool offers. Every daemon's
// file must be one that the daemon takes, and no two processes may want a port.
func TestGreatestFleetHasSoundSettingsAndItsOwnPorts(t *testing.T) {
	f := &Fleet{Daemons: portsOfAKind, Groups: portsOfAKind / serversEach, Zones: 6, FirstPort: 9000,
		Heartbeat: 100e6, SuspectAfter: 500e6, Dir: t.TempDir()}
	require.NoError(t, f.Run(t.Context(), io.Discard))
	files, err := filepath.Glob(filepath.Join(f.Dir, "proxy*.ini"))
	require.NoError(t, err)
	require.Len(t, files, f.Daemons)
	taken := map[string]bool{f.addr(0, 0): true}
	take := func(addr string) {
		require.False(t, taken[addr], addr)
		taken[addr] = true
	}
	for _, file := range files {
		s, err := settings.Load(file)
		require.NoError(t, err)
		take(s.Listen.Callers)
		take(s.Listen.Peers)
		take(s.Listen.Admin)
	}
	for n := range f.Groups {
		for i := range serversEach {
			take(f.addr(serverPorts, serversEach*n+i))
			take(f.addr(serverPorts+controlShift, serversEach*n+i))
		}
	}
	require.Error(t, (&Fleet{Daemons: portsOfAKind + 1, Groups: 1, Zones: 1, Dir: f.Dir}).Run(t.Context(), io.Discard))
}

package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `[vm]
id = p1
zone = z1
zones = z1, z2
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
app = SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy
`

func TestDefaultsFillWhatIsAbsent(t *testing.T) {
	s, found := Parse("p.ini", []byte(validSettings))
	require.Empty(t, found)
	require.Equal(t, 25, s.Targets.Connections)
	require.Equal(t, []string{"z1", "z2"}, s.VM.Zones)
	require.Equal(t, "k1", s.ActiveKey)
}

// Failure guarded against: only the first of several mistakes in a file is reported, so that an
// operator needs one restart for each. All must be reported at once, with their lines.
func TestAllFindingsComeTogetherWithTheirPlace(t *testing.T) {
	bad := strings.NewReplacer(
		"callers = 127.0.0.1:1", "callers = localhost",
		"active = k1", "active = k9",
		"user = endivemoor", "usr = endivemoor",
	).Replace(validSettings) + "[extra]\nx = 1\n"
	_, found := Parse("p.ini", []byte(bad))
	text := found.Error()
	require.Contains(t, text, "p.ini:6: [listen] callers: error: is no ip:port")
	require.Contains(t, text, "[session-keys] active: error: no key has the id k9")
	require.Contains(t, text, "p.ini:12: [targets] usr: error: unknown key")
	require.Contains(t, text, "[targets] user: error: key is missing")
	require.Contains(t, text, "[extra] error: unknown section")
}

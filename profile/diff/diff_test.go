package diff

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/inifile"
)

func TestSets(t *testing.T) {
	var before *profile.Set
	datadriven.RunTest(t, "testdata/diff.txt", func(t *testing.T, d *datadriven.TestData) string {
		set, findings := inifile.Parse("d.ini", []byte(d.Input))
		require.NoError(t, findings.Err())
		if d.Cmd == "from" {
			before = set
			return "ok"
		}
		changes := Sets(before, set)
		if d.Cmd == "dangerous" {
			changes = Dangerous(changes)
		}
		lines := make([]string, len(changes))
		for i, c := range changes {
			lines[i] = c.String()
		}
		return strings.Join(lines, "\n")
	})
}

func TestFirstSetIsComparedWithAnEmptySet(t *testing.T) {
	set, _ := inifile.Parse("d.ini", []byte("[shop]\n[shop.pay]\nidempotent = true\n"))
	require.Len(t, Sets(nil, set), 3)
	require.Len(t, Dangerous(Sets(nil, set)), 1)
	require.Empty(t, Sets(set, set))
}

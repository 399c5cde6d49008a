package capacity

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitFindsTheLine(t *testing.T) {
	points := []Point{{1, 13}, {10, 40}, {100, 310}, {1000, 3010}}
	l := Fit(points)
	require.InDelta(t, 10, l.Base, 1e-6)
	require.InDelta(t, 3, l.Slope, 1e-6)
	require.InDelta(t, 0, l.Residual, 1e-6)
	require.InDelta(t, 8710, l.At(2900), 1e-3)
}

func TestExampleHasTheGroupsAskedFor(t *testing.T) {
	to := filepath.Join(t.TempDir(), "groups-4")
	require.NoError(t, WriteExample("../../../examples/demo", to, 4))
	groups, err := os.ReadDir(filepath.Join(to, groupsDir))
	require.NoError(t, err)
	require.Len(t, groups, 4)
	require.FileExists(t, filepath.Join(to, "proxy1.ini"))
}

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

func TestExampleHasTheGroupsAndVMsAskedFor(t *testing.T) {
	to := filepath.Join(t.TempDir(), "groups-4")
	require.NoError(t, WriteExample("../../../examples/demo", to, 4, 9))
	groups, err := os.ReadDir(filepath.Join(to, groupsDir))
	require.NoError(t, err)
	require.Len(t, groups, 4)
	require.FileExists(t, filepath.Join(to, "proxy9.ini"))
}

// Guards against: a process that seems to use no memory because its state could not be read.
func TestShortStateOfAProcessIsAnError(t *testing.T) {
	_, err := residentOf([]string{"812"})
	require.ErrorContains(t, err, "need 2")
	resident, err := residentOf([]string{"812", "3"})
	require.NoError(t, err)
	require.EqualValues(t, 3*os.Getpagesize(), resident)
}

package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: the fit reports wrong slopes. Points on a line must give that line and
// no residual, and a point off the line must give a residual.
func TestFitLine(t *testing.T) {
	l := fitLine([]float64{3, 9, 18, 27}, []float64{7, 19, 37, 55})
	require.InDelta(t, 1, l.base, 1e-9)
	require.InDelta(t, 2, l.slope, 1e-9)
	require.InDelta(t, 0, l.residual, 1e-9)
	require.InDelta(t, 0.4714, fitLine([]float64{1, 2, 3}, []float64{1, 3, 3}).residual, 1e-4)
}

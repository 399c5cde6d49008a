package feature

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSetRunsAllPartsButTheGivenOnes(t *testing.T) {
	off := Without(Outliers, FairShares)
	for _, p := range known {
		require.False(t, Set{}.Without(p))
		require.Equal(t, p == Outliers || p == FairShares, off.Without(p), p)
	}
	require.Equal(t, "fair-shares,outliers", off.String())
	require.Empty(t, Set{}.String())
}

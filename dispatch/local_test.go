package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: a statement that is cut to what its caller had left counts as lost by a
// target that would have answered in its usual time.
func TestCallersTimeEndsStatements(t *testing.T) {
	now, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	require.True(t, Expired(now))
	later, cancel := context.WithTimeout(context.Background(), time.Hour)
	require.False(t, Expired(later))
	cancel()
	require.True(t, Expired(later))
	require.False(t, Expired(context.Background()))
}

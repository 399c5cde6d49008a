package explain

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRingDropsTheOldest(t *testing.T) {
	r := NewRing(2)
	r.Add("1", "one")
	r.Add("2", "two")
	r.Add("2", "two again")
	r.Add("3", "three")
	_, ok := r.Get("1")
	require.False(t, ok)
	require.Equal(t, []any{"three", "two again"}, r.Newest(5))
}

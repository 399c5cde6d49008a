package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A peer that was partitioned for an hour reconnects and sends the outdated state of the group.
// The view must not return to the superseded primary.
func TestAdoptNeverGoesBack(t *testing.T) {
	h := NewHolder()
	require.True(t, h.Adopt(&Group{Name: "g", Term: 3, Primary: "b"}))
	require.False(t, h.Adopt(&Group{Name: "g", Term: 2, Primary: "a", Reserved: 9}))
	require.Equal(t, "b", string(h.Load().Groups["g"].Primary))
	require.True(t, h.Adopt(&Group{Name: "g", Term: 3, Primary: "b", Reserved: 4}))
}

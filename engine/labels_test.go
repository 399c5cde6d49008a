package engine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
)

// Failure guarded against: the number of time series grows with the number of workspaces.
func TestFewWorkspacesHaveLabels(t *testing.T) {
	c := &catalog.Config{Workspaces: make(map[string]*catalog.Workspace)}
	for i := range 10_000 {
		name := fmt.Sprint("w", i)
		c.Workspaces[name] = &catalog.Workspace{Name: name, Limited: true, Rate: float64(i)}
	}
	c.Workspaces["free"] = &catalog.Workspace{Name: "free"}
	var l labeller
	seen := make(map[string]bool)
	for name := range c.Workspaces {
		seen[l.label(c, name)] = true
	}
	require.Len(t, seen, maxLabels+1)
	require.Equal(t, "w9999", l.label(c, "w9999"))
	require.Equal(t, "free", l.label(c, "free"))
	require.Equal(t, otherWorkspaces, l.label(c, "w3"))
	require.Equal(t, "w3", l.label(&catalog.Config{Workspaces: map[string]*catalog.Workspace{"w3": {Name: "w3"}}}, "w3"))
}

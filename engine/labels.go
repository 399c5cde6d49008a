package engine

import (
	"cmp"
	"slices"
	"sync/atomic"

	"endivemoor.example/endivemoor/catalog"
)

const (
	// maxLabels is the number of workspaces that have their own label in metrics: those with the
	// highest limits. The others are counted together, so that metrics do not grow with the number
	// of workspaces.
	maxLabels = 8
	// otherWorkspaces is the label of all other workspaces.
	otherWorkspaces = "other"
)

// labels holds the workspaces of a configuration that have their own label.
type labels struct {
	config *catalog.Config
	named  map[string]bool
}

// labeller maps workspaces to their labels. It is safe for concurrent use.
type labeller struct{ current atomic.Pointer[labels] }

// label returns a workspace's label in a configuration.
func (l *labeller) label(c *catalog.Config, workspace string) string {
	current := l.current.Load()
	if current == nil || current.config != c {
		current = &labels{config: c, named: largest(c.Workspaces)}
		l.current.Store(current)
	}
	if current.named[workspace] {
		return workspace
	}
	return otherWorkspaces
}

// largest returns the maxLabels workspaces with the highest limits. An unlimited workspace ranks
// above any limit.
func largest(all map[string]*catalog.Workspace) map[string]bool {
	sorted := make([]*catalog.Workspace, 0, len(all))
	for _, w := range all {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b *catalog.Workspace) int {
		switch {
		case a.Limited != b.Limited && !a.Limited:
			return -1
		case a.Limited != b.Limited:
			return 1
		default:
			return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
		}
	})
	out := make(map[string]bool, maxLabels)
	for _, w := range sorted[:min(maxLabels, len(sorted))] {
		out[w.Name] = true
	}
	return out
}

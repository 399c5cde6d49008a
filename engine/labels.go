package engine

import (
	"cmp"
	"slices"
	"sync/atomic"

	"endivemoor.example/endivemoor/catalog"
)

const (
	// labelled is how many workspaces have a label of their own in metrics: those with the
	// highest limits. The others are counted together, so that metrics do not grow with
	// the number of workspaces.
	labelled = 8
	// otherWorkspaces is the label of all others.
	otherWorkspaces = "other"
)

// labels are those of the workspaces of one configuration.
type labels struct {
	config *catalog.Config
	own    map[string]bool
}

// labeller finds the labels of workspaces. It is safe for concurrent use.
type labeller struct{ current atomic.Pointer[labels] }

// of is a workspace's label by the configuration in force.
func (l *labeller) of(c *catalog.Config, workspace string) string {
	now := l.current.Load()
	if now == nil || now.config != c {
		now = &labels{config: c, own: largest(c.Workspaces)}
		l.current.Store(now)
	}
	if now.own[workspace] {
		return workspace
	}
	return otherWorkspaces
}

// largest are the workspaces with the highest limits; none has a higher one.
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
	out := make(map[string]bool, labelled)
	for _, w := range sorted[:min(labelled, len(sorted))] {
		out[w.Name] = true
	}
	return out
}

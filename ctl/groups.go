package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	drainstore "endivemoor.example/endivemoor/drain/store"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

const groupPrefix = "groups/"

type groupCommands struct {
	Status groupStatus `cmd:"" help:"Term, primary and servers of the groups, as last agreed in the platform."`
}

type groupStatus struct {
	Group string `arg:"" optional:"" help:"Name of one group; all if left out."`
}

// Run prints the groups.
func (c *groupStatus) Run(r *runner) error {
	groups, err := r.groups(c.Group)
	if err != nil {
		return err
	}
	if c.Group != "" && len(groups) == 0 {
		return &refusedError{message: "no such group: " + c.Group}
	}
	marks, err := r.drains().Marks(r.ctx)
	if err != nil {
		return err
	}
	return r.print(list(groups), func(w io.Writer) { groupsText(w, groups, marks) })
}

func (r *runner) groups(name string) ([]view.Group, error) {
	objects, err := r.platform.List(r.ctx, store.PurposeCommand, groupPrefix)
	if err != nil {
		return nil, err
	}
	var groups []view.Group
	for _, o := range objects {
		var g view.Group
		if err := json.Unmarshal(o.Value, &g); err != nil {
			return nil, errors.Wrapf(err, "group object %s", o.Key)
		}
		if name == "" || g.Name == name {
			groups = append(groups, g)
		}
	}
	return groups, nil
}

func groupsText(w io.Writer, groups []view.Group, marks []drainstore.Mark) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, g := range groups {
		fmt.Fprintf(tw, "group %s\tterm %d\tprimary %s\treserved %d %s\n", g.Name, g.Term, g.Primary, g.Reserved, g.ReservedBy)
		for _, s := range g.Servers {
			fmt.Fprintf(tw, "  %s\t%s\t%s\t%s\n", s.ID, s.Addr, s.Zone, roleText(g, s.ID, marks))
		}
		fmt.Fprintf(tw, "  terms\t%s\n", termsText(g))
	}
	_ = tw.Flush()
}

func roleText(g view.Group, id target.ID, marks []drainstore.Mark) string {
	role := "replica"
	if g.Primary == id {
		role = "primary"
	}
	if slices.ContainsFunc(marks, func(m drainstore.Mark) bool { return m.Target == id }) {
		role += " draining"
	}
	return role
}

func termsText(g view.Group) string {
	starts := make([]string, len(g.History))
	for i, s := range g.History {
		starts[i] = fmt.Sprintf("%d@%d", s.Term, s.LSN)
	}
	return strings.Join(starts, " ")
}

type targetCommands struct {
	Drain   targetDrain   `cmd:"" help:"Give a target no new work; it keeps what it has for its grace."`
	Undrain targetUndrain `cmd:"" help:"Give a target work again."`
	List    targetList    `cmd:"" help:"Targets that drain."`
}

type targetDrain struct {
	Target string        `arg:"" help:"ID of a server, as in group status."`
	Reason string        `help:"Why." required:""`
	Grace  time.Duration `help:"How long the target keeps the work it has." default:"10s"`
}

type targetUndrain struct {
	Target string `arg:"" help:"ID of a server."`
	Reason string `help:"Why." required:""`
}

type targetList struct{}

// Run stores a drain mark for the target.
func (c *targetDrain) Run(r *runner) error {
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	if c.Grace < 0 {
		return &inputError{message: "--grace must not be negative"}
	}
	if err := r.requireTarget(target.ID(c.Target)); err != nil {
		return err
	}
	m, err := r.drains().Drain(r.ctx, drainstore.Request{Target: target.ID(c.Target), Actor: by.Actor, Reason: by.Reason, Grace: c.Grace})
	if err != nil {
		return err
	}
	return r.print(m, func(w io.Writer) { fmt.Fprintf(w, "target %s drains, grace %s\n", m.Target, c.Grace) })
}

// requireTarget rejects a target that is in no group. Otherwise a misspelled name would drain
// nothing, and the command would report success.
func (r *runner) requireTarget(id target.ID) error {
	groups, err := r.groups("")
	if err != nil {
		return err
	}
	for _, g := range groups {
		if g.Server(id) != nil {
			return nil
		}
	}
	return &inputError{message: "no group has a server " + string(id)}
}

// Run ends the drain.
func (c *targetUndrain) Run(r *runner) error {
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	m, err := r.drains().Undrain(r.ctx, drainstore.Request{Target: target.ID(c.Target), Actor: by.Actor, Reason: by.Reason})
	if err != nil {
		return err
	}
	return r.print(m, func(w io.Writer) { fmt.Fprintf(w, "target %s takes work again\n", m.Target) })
}

// Run prints the drain marks.
func (targetList) Run(r *runner) error {
	marks, err := r.drains().Marks(r.ctx)
	if err != nil {
		return err
	}
	return r.print(list(marks), func(w io.Writer) {
		for _, m := range marks {
			fmt.Fprintf(w, "%s since %s by %s: %s\n", m.Target, m.Since.Format(time.RFC3339), m.Actor, m.Reason)
		}
	})
}

package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// firstPort is the first server's; examples/run.sh puts each server's
	// faults on a port of its own, chosen by the stand-in.
	firstPort = 20411
	groupsDir = "objects/groups"
)

// WriteExample writes an example directory for examples/run.sh: a copy of the
// one in from, with n groups of three servers.
func WriteExample(from, to string, n int) error {
	if err := os.RemoveAll(to); err != nil {
		return errors.Wrap(err, "clear the example")
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		return errors.Wrap(err, "copy the example")
	}
	if err := os.RemoveAll(filepath.Join(to, groupsDir)); err != nil {
		return errors.Wrap(err, "clear the groups")
	}
	if err := os.MkdirAll(filepath.Join(to, groupsDir), 0o755); err != nil {
		return errors.Wrap(err, "make the groups")
	}
	for i := range n {
		g := exampleGroup(i)
		text, err := json.MarshalIndent(g, "", " ")
		if err != nil {
			return errors.Wrap(err, "encode a group")
		}
		if err := os.WriteFile(filepath.Join(to, groupsDir, g.Name), text, 0o644); err != nil {
			return errors.Wrap(err, "write a group")
		}
	}
	return nil
}

func exampleGroup(i int) *view.Group {
	g := &view.Group{
		Name: fmt.Sprintf("ledger-%d", i), Term: 1, Reserved: 1,
		History: timeline.History{{Term: 1}},
	}
	for k, zone := range []string{"z1", "z2", "z3"} {
		g.Servers = append(g.Servers, view.Server{
			ID:   target.ID(g.Name + "-" + string(rune('a'+k))),
			Addr: fmt.Sprintf("127.0.0.1:%d", firstPort+10*i+k),
			Zone: zone,
		})
	}
	g.Primary = g.Servers[0].ID
	return g
}

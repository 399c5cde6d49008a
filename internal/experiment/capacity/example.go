package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// firstPort is the port of the first server. examples/run.sh gives the fault control of each
	// server a port of its own, which the stand-in chooses.
	firstPort = 20411
	// callersPort, peersPort and adminPort are the bases of the ports of all VMs except the first.
	callersPort = 21000
	peersPort   = 21100
	adminPort   = 21200
	groupsDir   = "objects/groups"
)

// WriteExample writes an example for examples/run.sh into the directory to: a copy of the example
// in from, with the given numbers of VMs and of groups of three servers.
func WriteExample(from, to string, groups, vms int) error {
	if err := os.RemoveAll(to); err != nil {
		return errors.Wrap(err, "remove old example directory")
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		return errors.Wrap(err, "copy the example")
	}
	if err := writeGroups(to, groups); err != nil {
		return err
	}
	return writeVMs(to, vms)
}

func writeGroups(to string, n int) error {
	dir := filepath.Join(to, groupsDir)
	if err := os.RemoveAll(dir); err != nil {
		return errors.Wrap(err, "remove copied groups")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create directory of the groups")
	}
	for i := range n {
		g := exampleGroup(i)
		if err := writeJSON(filepath.Join(dir, g.Name), g); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode file of the example")
	}
	return errors.Wrap(os.WriteFile(path, text, 0o644), "write file of the example")
}

// writeVMs writes the settings of n VMs and the platform's list of VMs. The first VM keeps the
// settings of the copied example.
func writeVMs(to string, n int) error {
	template := filepath.Join(to, "proxy1.ini")
	first, err := ini.Load(template)
	if err != nil {
		return errors.Wrap(err, "read the first VM's settings")
	}
	list := struct {
		VMs []store.VM `json:"vms"`
	}{}
	for i := range n {
		vm := store.VM{ID: fmt.Sprintf("p%d", i+1), Zone: exampleZones[i%len(exampleZones)]}
		vm.Addr = fmt.Sprintf("127.0.0.1:%d", peersPort+i)
		if i == 0 {
			vm.Addr = first.Section("listen").Key("peers").String()
		} else if err := writeVM(template, to, vm, i); err != nil {
			return err
		}
		list.VMs = append(list.VMs, vm)
	}
	return writeJSON(filepath.Join(to, "vms.json"), list)
}

func writeVM(template, to string, vm store.VM, i int) error {
	settings, err := ini.Load(template)
	if err != nil {
		return errors.Wrap(err, "read the first VM's settings")
	}
	settings.Section("vm").Key("id").SetValue(vm.ID)
	settings.Section("vm").Key("zone").SetValue(vm.Zone)
	listen := settings.Section("listen")
	listen.Key("callers").SetValue(fmt.Sprintf("127.0.0.1:%d", callersPort+i))
	listen.Key("peers").SetValue(vm.Addr)
	listen.Key("admin").SetValue(fmt.Sprintf("127.0.0.1:%d", adminPort+i))
	return errors.Wrap(settings.SaveTo(filepath.Join(to, "proxy"+strconv.Itoa(i+1)+".ini")), "write a VM's settings")
}

var exampleZones = []string{"z1", "z2", "z3"}

func exampleGroup(i int) *view.Group {
	g := &view.Group{
		Name: fmt.Sprintf("ledger-%d", i), Term: 1, Reserved: 1,
		History: timeline.History{{Term: 1}},
	}
	for k, zone := range exampleZones {
		g.Servers = append(g.Servers, view.Server{
			ID:   target.ID(g.Name + "-" + string(rune('a'+k))),
			Addr: fmt.Sprintf("127.0.0.1:%d", firstPort+10*i+k),
			Zone: zone,
		})
	}
	g.Primary = g.Servers[0].ID
	return g
}

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Offsets of a fleet's ports from its first port, and the limits that they set. controlPortOffset
// is relative to the server's port.
const (
	serverPortOffset  = 100
	controlPortOffset = 200
	callerPortOffset  = 500
	peerPortOffset    = 600
	adminPortOffset   = 700
	portsPerKind      = 100
	serversPerGroup   = 3
)

// Fleet is the command that writes the files of a fleet of any size, in the form that
// examples/run.sh expects. All ports are in one range from the first port on, so that several
// fleets fit on one machine.
type Fleet struct {
	Daemons      int           `default:"9"`
	Groups       int           `default:"3" help:"database groups of three servers each"`
	Zones        int           `default:"3" help:"availability zones"`
	FirstPort    int           `default:"9000" help:"a fleet takes 800 ports from here on"`
	Heartbeat    time.Duration `default:"100ms"`
	SuspectAfter time.Duration `default:"500ms"`
	Dir          string        `required:"" help:"directory to write to"`
}

// addr returns the address of the n-th port at an offset.
func (f *Fleet) addr(offset, n int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(f.FirstPort+offset+n))
}

func (f *Fleet) zone(n int) string { return fmt.Sprint("z", n%f.Zones+1) }

func vmName(n int) string { return fmt.Sprintf("p%02d", n+1) }

// Run writes the files.
func (f *Fleet) Run(_ context.Context, out io.Writer) error {
	if f.Daemons < 1 || f.Daemons > portsPerKind || f.Groups*serversPerGroup > portsPerKind || f.Zones < 1 {
		return errors.Errorf("write fleet: needs 1 to %d daemons, at most %d groups and at least one zone", portsPerKind, portsPerKind/serversPerGroup)
	}
	if err := os.MkdirAll(filepath.Join(f.Dir, "objects", "groups"), 0o755); err != nil {
		return errors.Wrap(err, "create directory of groups")
	}
	for n := range f.Groups {
		g := f.group(n)
		if err := f.writeJSON(filepath.Join("objects", "groups", g.Name), g); err != nil {
			return err
		}
	}
	if err := f.writeJSON("vms.json", platformd.VMs{VMs: f.vms()}); err != nil {
		return err
	}
	if err := f.writeDaemons(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons and %d groups in %s\n", f.Daemons, f.Groups, f.Dir)
	return f.write("run.env", runEnv, f.env())
}

func (f *Fleet) group(n int) view.Group {
	name := fmt.Sprint("ledger-", n)
	g := view.Group{Name: name, Term: 1, Primary: target.ID(name + "-a"), Reserved: 1, History: timeline.History{{Term: 1}}}
	for i := range serversPerGroup {
		id := target.ID(fmt.Sprintf("%s-%c", name, 'a'+i))
		g.Servers = append(g.Servers, view.Server{ID: id, Addr: f.addr(serverPortOffset, serversPerGroup*n+i), Zone: f.zone(i)})
	}
	return g
}

func (f *Fleet) vms() []store.VM {
	out := make([]store.VM, f.Daemons)
	for n := range out {
		out[n] = store.VM{ID: vmName(n), Zone: f.zone(n), Addr: f.addr(peerPortOffset, n)}
	}
	return out
}

// daemonFile is the data of the template of one daemon's settings.
type daemonFile struct {
	ID, Zone, Zones, Callers, Peers, Admin, Platform string
	Heartbeat, SuspectAfter                          time.Duration
}

func (f *Fleet) writeDaemons() error {
	zones := f.zone(0)
	for n := 1; n < f.Zones; n++ {
		zones += ", " + f.zone(n)
	}
	for n := range f.Daemons {
		d := daemonFile{vmName(n), f.zone(n), zones, f.addr(callerPortOffset, n), f.addr(peerPortOffset, n), f.addr(adminPortOffset, n), f.addr(0, 0), f.Heartbeat, f.SuspectAfter}
		if err := f.write("proxy"+d.ID+".ini", daemonINI, d); err != nil {
			return err
		}
	}
	return nil
}

// envFile is the data of the template of run.env.
type envFile struct {
	Platform, Admin, Admins string
	ControlShift            int
}

func (f *Fleet) env() envFile {
	admins := f.addr(adminPortOffset, 0)
	for n := 1; n < f.Daemons; n++ {
		admins += "," + f.addr(adminPortOffset, n)
	}
	return envFile{f.addr(0, 0), f.addr(adminPortOffset, 0), admins, controlPortOffset}
}

func (f *Fleet) writeJSON(name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(f.Dir, name), raw, 0o644), "write file of the fleet")
}

func (f *Fleet) write(name string, t *template.Template, v any) error {
	file, err := os.Create(filepath.Join(f.Dir, name))
	if err != nil {
		return errors.Wrap(err, "create file of the fleet")
	}
	defer file.Close()
	return errors.Wrap(t.Execute(file, v), name)
}

var daemonINI = template.Must(template.New("ini").Parse(`[vm]
id = {{.ID}}
zone = {{.Zone}}
zones = {{.Zones}}

[listen]
callers = {{.Callers}}
peers = {{.Peers}}
admin = {{.Admin}}

[platform]
url = http://{{.Platform}}

[targets]
user = endivemoor
connections = 60
slots = 3

[failover]
heartbeat = {{.Heartbeat}}
suspect-after = {{.SuspectAfter}}

[session-keys]
active = k1
k1 = demo-only-demo-only-demo-only-demo

[users]
; password: demo-only
passapp = SCRAM-SHA-256$4096:9T+h7GemyjUiv2t77Ryftw==$esbem6onS9OKXKg1CTxrssFd/8I7NBYxWUncbvPwXmA=:dxYBp8qG0GuKetFrLVvvV/9NaDCN618EPr+NwrHOW3U=
`))

var runEnv = template.Must(template.New("env").Parse(`# Written by endivemoor-load fleet, read by examples/fleet.sh.
platform={{.Platform}}
admin={{.Admin}}
admins={{.Admins}}
control_shift={{.ControlShift}}
`))

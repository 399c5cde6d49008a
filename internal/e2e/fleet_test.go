package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/proxy"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/target/pgtarget"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	groupName  = "ledger-0"
	user       = "passapp"
	password   = "for tests only"
	sessionKey = "0123456789abcdef0123456789abcdef"
	// chargeTable has no unique key, so that a charge that ran twice is visible.
	chargeTable = "CREATE TABLE charges (key TEXT, amount TEXT);"
)

// profiles is the published set of profiles.
const profiles = `[passes]
max-read-age = 1m
drain-grace = 5s
default-kind = other

[passes.purchase]
access = write
worth = 10
deadline = 8s
idempotent = false
key = required
durability = confirmed

[passes.balance]
access = read
worth = 1
deadline = 8s
max-age = 0s
idempotent = true

[passes.browse]
access = read
worth = 1
deadline = 8s
max-age = 1m
idempotent = true

[passes.other]
access = write
worth = 1
deadline = 8s
`

// server is one stand-in database process.
type server struct {
	*process
	id      target.ID
	addr    string
	control string
}

// daemon is one endivemoor process.
type daemon struct {
	*process
	settings string
	callers  string
	admin    string
}

// fleet contains all processes of one test.
type fleet struct {
	dir         string
	platform    *process
	platformURL string
	servers     []*server
	daemons     []*daemon
}

// startFleet starts a platform, a group of three servers (the first is primary) and n daemons in
// three zones, and waits until all daemons are ready.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{dir: t.TempDir()}
	f.startServers(t)
	addrs := f.writeSettings(t, n)
	f.startPlatform(t, addrs)
	f.publish(t, profiles)
	for i := range f.daemons {
		f.startDaemon(t, i)
	}
	for _, d := range f.daemons {
		f.waitReady(t, d)
	}
	return f
}

func (f *fleet) write(t *testing.T, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(f.dir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

func (f *fleet) startServers(t *testing.T) {
	t.Helper()
	seed := f.write(t, "schema.sql", []byte(chargeTable))
	for i, id := range []target.ID{"ledger-0-a", "ledger-0-b", "ledger-0-c"} {
		s := &server{id: id, addr: freeAddr(t), control: freeAddr(t)}
		args := []string{"db", "--id", string(id), "--listen", s.addr, "--control", s.control,
			"--zone", zone(i), "--seed", seed, "--connect-cost", "1ms"}
		if i == 0 {
			args = append(args, "--role", "primary")
		} else {
			args = append(args, "--primary", f.servers[0].addr)
		}
		s.process = start(t, f.dir, string(id), "standin", args...)
		f.servers = append(f.servers, s)
	}
	for _, s := range f.servers {
		eventually(t, "the server answers a status query", func() bool {
			_, ok := s.status(t)
			return ok
		})
	}
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3+1) }

// writeSettings writes the daemons' settings and returns the addresses of their peer listeners.
func (f *fleet) writeSettings(t *testing.T, n int) []string {
	t.Helper()
	f.platformURL = "http://" + freeAddr(t)
	secret, err := proxy.NewVerifier(password, "a salt for tests", 4096)
	require.NoError(t, err)
	var peers []string
	for i := range n {
		d := &daemon{callers: freeAddr(t), admin: freeAddr(t)}
		peers = append(peers, freeAddr(t))
		text := fmt.Sprintf(`[vm]
id = p%d
zone = %s
zones = z1, z2, z3
[listen]
callers = %s
peers = %s
admin = %s
[platform]
url = %s
[targets]
user = endivemoor
connections = 25
slots = 3
[session-keys]
active = k1
k1 = %s
[users]
%s = %s
`, i+1, zone(i), d.callers, peers[i], d.admin, f.platformURL, sessionKey, user, secret)
		d.settings = f.write(t, fmt.Sprintf("p%d.ini", i+1), []byte(text))
		f.daemons = append(f.daemons, d)
	}
	return peers
}

func (f *fleet) startPlatform(t *testing.T, peers []string) {
	t.Helper()
	group := view.Group{Name: groupName, Term: 1, Primary: f.servers[0].id, Reserved: 1,
		History: timeline.History{{Term: 1}}}
	for i, s := range f.servers {
		group.Servers = append(group.Servers, view.Server{ID: s.id, Addr: s.addr, Zone: zone(i)})
	}
	object, err := json.Marshal(group)
	require.NoError(t, err)
	f.write(t, "objects/groups/"+groupName, object)
	var vms []map[string]string
	for i, addr := range peers {
		vms = append(vms, map[string]string{"id": fmt.Sprintf("p%d", i+1), "zone": zone(i), "addr": addr})
	}
	list, err := json.Marshal(map[string]any{"vms": vms})
	require.NoError(t, err)
	f.platform = start(t, f.dir, "platform", "standin", "platform",
		"--listen", strings.TrimPrefix(f.platformURL, "http://"),
		"--seed-dir", filepath.Join(f.dir, "objects"), "--vms", f.write(t, "vms.json", list))
	eventually(t, "the platform answers", func() bool {
		res, err := http.Get(f.platformURL + "/fault")
		return err == nil && res.Body.Close() == nil
	})
}

// startDaemon starts or restarts the i-th daemon.
func (f *fleet) startDaemon(t *testing.T, i int) {
	t.Helper()
	d := f.daemons[i]
	d.process = start(t, f.dir, fmt.Sprintf("p%d", i+1), "endivemoor", "serve", d.settings)
}

func (f *fleet) waitReady(t *testing.T, d *daemon) {
	t.Helper()
	eventually(t, "the daemon is ready", func() bool {
		res, err := http.Get("http://" + d.admin + "/readyz")
		return err == nil && res.Body.Close() == nil && res.StatusCode == http.StatusOK
	})
}

// ctl runs an operator's command and returns its output.
func (f *fleet) ctl(t *testing.T, actor string, args ...string) string {
	t.Helper()
	all := append([]string{"--platform", f.platformURL, "--actor", actor, "--output", "json"}, args...)
	out, err := exec.Command(filepath.Join(binaries, "endivemoorctl"), all...).CombinedOutput()
	require.NoError(t, err, "endivemoorctl %v: %s", args, out)
	return string(out)
}

// publish creates, reviews and publishes a draft with a set of profiles.
func (f *fleet) publish(t *testing.T, text string) {
	t.Helper()
	path := f.write(t, "profiles.ini", []byte(text))
	var draft struct {
		ID string `json:"id"`
	}
	out := f.ctl(t, "aoife", "profile", "draft", "--reason", "for a test", path)
	require.NoError(t, json.Unmarshal([]byte(out), &draft), out)
	f.ctl(t, "brendan", "profile", "review", "--reason", "read it", draft.ID)
	f.ctl(t, "aoife", "profile", "publish", "--reason", "for a test", draft.ID)
}

// storeFaults sets the faults of the platform's store.
func (f *fleet) storeFaults(t *testing.T, faults string) {
	t.Helper()
	res, err := http.Post(f.platformURL+"/fault", "application/json", strings.NewReader(faults))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Less(t, res.StatusCode, http.StatusMultipleChoices)
}

// fault injects a fault into a database server.
func (s *server) fault(t *testing.T, values ...string) {
	t.Helper()
	form := url.Values{}
	for i := 0; i+1 < len(values); i += 2 {
		form.Set(values[i], values[i+1])
	}
	res, err := http.PostForm("http://"+s.control+"/fault", form)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusNoContent, res.StatusCode)
}

// faultEffects returns how many messages a server's faults have held back.
func (s *server) faultEffects(t *testing.T) dbd.FaultHits {
	t.Helper()
	var v dbd.FaultHits
	getJSON(t, "http://"+s.control+"/fault", &v)
	return v
}

func getJSON(t *testing.T, from string, into any) {
	t.Helper()
	res, err := http.Get(from)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.NoError(t, json.NewDecoder(res.Body).Decode(into))
}

// status queries the server directly; ok is false if it does not answer.
func (s *server) status(t *testing.T) (st target.Status, ok bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	db, err := pgtarget.Dial(ctx, s.id, "postgres://judge@"+s.addr+"/postgres?sslmode=disable")
	if err != nil {
		return st, false
	}
	defer func() { _ = db.Close(ctx) }()
	st, err = db.Status(ctx)
	return st, err == nil
}

// leader returns the primary of the highest term, or nil.
func (f *fleet) leader(t *testing.T) *server {
	t.Helper()
	var best *server
	var term timeline.Term
	for _, s := range f.servers {
		st, ok := s.status(t)
		if ok && st.Role == target.RolePrimary && st.Promised == st.Term && st.Term > term {
			best, term = s, st.Term
		}
	}
	return best
}

// waitLeaderOtherThan waits for a promotion and returns the new primary.
func (f *fleet) waitLeaderOtherThan(t *testing.T, old *server) *server {
	t.Helper()
	var found *server
	eventually(t, "another server is primary", func() bool {
		found = f.leader(t)
		return found != nil && found != old
	})
	return found
}

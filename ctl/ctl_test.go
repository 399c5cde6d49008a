package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/view"
)

// bench runs commands against a stand-in platform and one daemon that says
// what the scenario sets.
type bench struct {
	t       *testing.T
	dir     string
	store   *platformd.Store
	url     string
	daemon  string
	status  string
	explain string
	// drafts are the IDs seen, by the names D1, D2, ... they are shown as.
	drafts []string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), store: platformd.NewStore(), status: "{}"}
	server := httptest.NewServer(b.store.Handler())
	t.Cleanup(server.Close)
	b.url = server.URL
	daemon := httptest.NewServer(http.HandlerFunc(b.serveDaemon))
	t.Cleanup(daemon.Close)
	b.daemon = daemon.URL
	return b
}

func (b *bench) serveDaemon(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/status":
		fmt.Fprint(w, b.status)
	case b.explain != "" && r.URL.Query().Get("promotion") == "ledger-0":
		fmt.Fprint(w, b.explain)
	default:
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "{}")
	}
}

var (
	draftID = regexp.MustCompile(`draft (?:")?([0-9a-f]{12})`)
	digest  = regexp.MustCompile(`[0-9a-f]{64}`)
	short   = regexp.MustCompile(`\b[0-9a-f]{12}\b`)
	when    = regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`)
)

// steady replaces what differs between runs.
func (b *bench) steady(text string) string {
	for _, m := range draftID.FindAllStringSubmatch(text, -1) {
		if !strings.Contains(strings.Join(b.drafts, " "), m[1]) {
			b.drafts = append(b.drafts, m[1])
		}
	}
	for i, id := range b.drafts {
		text = strings.ReplaceAll(text, id, fmt.Sprint("D", i+1))
	}
	text = digest.ReplaceAllString(text, "DIGEST")
	text = short.ReplaceAllString(text, "DIG")
	text = when.ReplaceAllString(text, "WHEN")
	text = strings.ReplaceAll(text, b.dir+string(filepath.Separator), "")
	return strings.ReplaceAll(strings.ReplaceAll(text, b.daemon, "DAEMON"), b.url, "PLATFORM")
}

func (b *bench) run(line string) (ExitCode, string) {
	for i, id := range b.drafts {
		line = strings.ReplaceAll(line, fmt.Sprint("D", i+1), id)
	}
	args := []string{"--platform", b.url}
	for _, field := range strings.Fields(line) {
		if strings.HasSuffix(field, ".ini") || strings.HasSuffix(field, ".jsonl") {
			field = filepath.Join(b.dir, field)
		}
		args = append(args, strings.ReplaceAll(field, "DAEMON", b.daemon))
	}
	var out bytes.Buffer
	code := Main(args, &out, &out)
	return ExitCode(code), out.String()
}

func (b *bench) play(d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		require.NoError(b.t, os.WriteFile(filepath.Join(b.dir, d.CmdArgs[0].Key), []byte(d.Input+"\n"), 0o600))
	case "group":
		b.seedGroup()
	case "daemon":
		b.status = d.Input
	case "record":
		b.explain = d.Input
	case "fault":
		var f platformd.Faults
		require.NoError(b.t, json.Unmarshal([]byte(d.Input), &f))
		b.store.SetFaults(f)
	case "tamper":
		b.tamper(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
	case "ctl":
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			code, text := b.run(line)
			fmt.Fprintf(&out, "%sexit %d\n", b.steady(text), code)
		}
		return out.String()
	}
	return "ok"
}

func (b *bench) seedGroup() {
	g := view.Group{Name: "ledger-0", Term: 3, Primary: "ledger-0-a", Reserved: 4, Servers: []view.Server{{ID: "ledger-0-a", Addr: "127.0.0.1:1", Zone: "z1"}, {ID: "ledger-0-b", Addr: "127.0.0.1:2", Zone: "z2"}}}
	value, err := json.Marshal(g)
	require.NoError(b.t, err)
	_, err = b.store.Put(context.Background(), store.PurposeGroup, "groups/ledger-0", value, 0)
	require.NoError(b.t, err)
}

// tamper edits the first audit segment behind the commands' back.
func (b *bench) tamper(from, to string) {
	ctx := context.Background()
	o, err := b.store.Get(ctx, store.PurposeAudit, "audit/segments/00000001")
	require.NoError(b.t, err)
	edited := strings.Replace(string(o.Value), from, to, 1)
	require.NotEqual(b.t, string(o.Value), edited)
	_, err = b.store.Put(ctx, store.PurposeAudit, o.Key, []byte(edited), o.Version)
	require.NoError(b.t, err)
}

func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return b.play(d) })
	})
}

// Scripts read JSON: an error is JSON as well, with the exit code.
func TestErrorsAreJSONToo(t *testing.T) {
	b := newBench(t)
	code, text := b.run("--output json --actor a profile publish --reason r 000000000000")
	require.Equal(t, ExitRefused, code)
	var f failure
	require.NoError(t, json.Unmarshal([]byte(text), &f))
	require.Equal(t, ExitRefused, f.Code)
}

// A new user asks for help, or misspells a command.
func TestHelpAndUsage(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, 0, Main([]string{"--help"}, &out, &out))
	require.Contains(t, out.String(), "4 unknown effect")
	require.Equal(t, int(ExitBadInput), Main([]string{"profil"}, &out, &out))
}

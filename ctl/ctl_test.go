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

// harness runs commands against a stand-in platform and one daemon whose answers the scenario sets.
type harness struct {
	t       *testing.T
	dir     string
	store   *platformd.Store
	url     string
	daemon  string
	status  string
	explain string
	// drafts are the draft IDs seen so far. The output shows them as D1, D2 and so on, in this
	// order.
	drafts []string
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, dir: t.TempDir(), store: platformd.NewStore(), status: "{}"}
	server := httptest.NewServer(h.store.Handler())
	t.Cleanup(server.Close)
	h.url = server.URL
	daemon := httptest.NewServer(http.HandlerFunc(h.serveDaemon))
	t.Cleanup(daemon.Close)
	h.daemon = daemon.URL
	return h
}

func (h *harness) serveDaemon(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/status":
		fmt.Fprint(w, h.status)
	case h.explain != "" && r.URL.Query().Get("promotion") == "ledger-0":
		fmt.Fprint(w, h.explain)
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

// normalize replaces IDs, digests, times and addresses, which differ between runs.
func (h *harness) normalize(text string) string {
	for _, m := range draftID.FindAllStringSubmatch(text, -1) {
		if !strings.Contains(strings.Join(h.drafts, " "), m[1]) {
			h.drafts = append(h.drafts, m[1])
		}
	}
	for i, id := range h.drafts {
		text = strings.ReplaceAll(text, id, fmt.Sprint("D", i+1))
	}
	text = digest.ReplaceAllString(text, "DIGEST")
	text = short.ReplaceAllString(text, "DIG")
	text = when.ReplaceAllString(text, "WHEN")
	text = strings.ReplaceAll(text, h.dir+string(filepath.Separator), "")
	return strings.ReplaceAll(strings.ReplaceAll(text, h.daemon, "DAEMON"), h.url, "PLATFORM")
}

func (h *harness) run(line string) (ExitCode, string) {
	for i, id := range h.drafts {
		line = strings.ReplaceAll(line, fmt.Sprint("D", i+1), id)
	}
	args := []string{"--platform", h.url}
	for _, field := range strings.Fields(line) {
		if strings.HasSuffix(field, ".ini") || strings.HasSuffix(field, ".jsonl") {
			field = filepath.Join(h.dir, field)
		}
		args = append(args, strings.ReplaceAll(field, "DAEMON", h.daemon))
	}
	var out bytes.Buffer
	code := Main(args, &out, &out)
	return ExitCode(code), out.String()
}

func (h *harness) runDirective(d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		require.NoError(h.t, os.WriteFile(filepath.Join(h.dir, d.CmdArgs[0].Key), []byte(d.Input+"\n"), 0o600))
	case "group":
		h.seedGroup()
	case "daemon":
		h.status = d.Input
	case "record":
		h.explain = d.Input
	case "fault":
		var f platformd.Faults
		require.NoError(h.t, json.Unmarshal([]byte(d.Input), &f))
		h.store.SetFaults(f)
	case "tamper":
		h.tamper(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
	case "ctl":
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			code, text := h.run(line)
			fmt.Fprintf(&out, "%sexit %d\n", h.normalize(text), code)
		}
		return out.String()
	}
	return "ok"
}

func (h *harness) seedGroup() {
	g := view.Group{Name: "ledger-0", Term: 3, Primary: "ledger-0-a", Reserved: 4, Servers: []view.Server{{ID: "ledger-0-a", Addr: "127.0.0.1:1", Zone: "z1"}, {ID: "ledger-0-b", Addr: "127.0.0.1:2", Zone: "z2"}}}
	value, err := json.Marshal(g)
	require.NoError(h.t, err)
	_, err = h.store.Put(context.Background(), store.PurposeGroup, "groups/ledger-0", value, 0)
	require.NoError(h.t, err)
}

// tamper edits the first audit segment directly in the store, without the commands.
func (h *harness) tamper(from, to string) {
	ctx := context.Background()
	o, err := h.store.Get(ctx, store.PurposeAudit, "audit/segments/00000001")
	require.NoError(h.t, err)
	edited := strings.Replace(string(o.Value), from, to, 1)
	require.NotEqual(h.t, string(o.Value), edited)
	_, err = h.store.Put(ctx, store.PurposeAudit, o.Key, []byte(edited), o.Version)
	require.NoError(h.t, err)
}

func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return h.runDirective(d) })
	})
}

// Scripts read JSON output, so an error must be JSON too, with the exit code.
func TestErrorsAreJSONToo(t *testing.T) {
	h := newHarness(t)
	code, text := h.run("--output json --actor a profile publish --reason r 000000000000")
	require.Equal(t, ExitRefused, code)
	var f failure
	require.NoError(t, json.Unmarshal([]byte(text), &f))
	require.Equal(t, ExitRefused, f.Code)
}

// --help must list the exit codes, and a misspelled command must exit with ExitBadInput.
func TestHelpAndUsage(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, 0, Main([]string{"--help"}, &out, &out))
	require.Contains(t, out.String(), "4 unknown effect")
	require.Equal(t, int(ExitBadInput), Main([]string{"profil"}, &out, &out))
}

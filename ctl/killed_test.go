package ctl

import (
	"context"
	"net/http/httptest"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/platform/standin/platformd"
	pubstore "endivemoor.example/endivemoor/publication/store"
)

// asCommand makes the test binary run as endivemoorctl.
const asCommand = "ENDIVEMOOR_TEST_AS_COMMAND"

// latencyMS slows the platform, so that there is a moment to kill in.
const latencyMS = 15

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// An operator's terminal dies during a publish: the process gets SIGKILL after
// its first call to the platform, after its second, and so on. The call that is
// on its way may still take effect. The next operator's command must find, or
// make, a whole state: as many publish entries as generations, and no draft of
// what is published.
func TestPublishKilledAtAnyMoment(t *testing.T) {
	accepted := 0
	for calls := int64(1); calls <= 20; calls++ {
		p := platformd.NewStore()
		id := prepare(t, p)
		killAfter(t, p, calls, "--actor", "aoife", "profile", "publish", "--reason", "sale", id)

		draft(t, p, "dora", "[shop]\n[shop.pay]\nworth = 4\n")
		ctx := context.Background()
		current, err := pubstore.New(p, time.Now).Current(ctx)
		require.NoError(t, err)
		drafts, err := pubstore.New(p, time.Now).Drafts(ctx)
		require.NoError(t, err)
		entries, err := auditlog.New(p).All(ctx)
		require.NoError(t, err)
		require.Empty(t, audit.Verify(entries))
		require.EqualValues(t, current.Generation, published(entries), "killed after %d calls", calls)
		if current.Generation == 2 {
			accepted++
		}
		require.Len(t, drafts, 3-int(current.Generation), "killed after %d calls", calls)
	}
	t.Logf("20 kills: %d publishes accepted, %d not", accepted, 20-accepted)
	require.Positive(t, accepted)
	require.Less(t, accepted, 20)
}

func published(entries []audit.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Action == audit.ProfilePublished {
			n++
		}
	}
	return n
}

// prepare publishes a first set and leaves a reviewed draft of a second.
func prepare(t *testing.T, p *platformd.Store) string {
	t.Helper()
	ctx := context.Background()
	first := draft(t, p, "aoife", "[shop]\n[shop.pay]\nworth = 2\n")
	_, err := pubstore.New(p, time.Now).Publish(ctx, pubstore.By{Actor: "aoife", Reason: "first"}, first)
	require.NoError(t, err)
	return draft(t, p, "aoife", "[shop]\n[shop.pay]\nworth = 3\n")
}

// draft leaves a reviewed draft.
func draft(t *testing.T, p *platformd.Store, author, text string) string {
	t.Helper()
	ctx := context.Background()
	s := pubstore.New(p, time.Now)
	d, _, err := s.Create(ctx, pubstore.By{Actor: author, Reason: "change"}, "f.ini", []byte(text))
	require.NoError(t, err)
	_, err = s.Review(ctx, pubstore.By{Actor: "brian", Reason: "read"}, d.ID, nil)
	require.NoError(t, err)
	return d.ID
}

// killAfter runs a command as a process against a slow platform and kills it
// once the platform has been called so often, unless it ended before. What is
// on its way then takes effect before killAfter returns.
func killAfter(t *testing.T, p *platformd.Store, calls int64, args ...string) {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	before := p.Stats()
	p.SetFaults(platformd.Faults{LatencyMS: latencyMS})
	command := exec.Command(os.Args[0], append([]string{"--platform", server.URL}, args...)...)
	command.Env = append(os.Environ(), asCommand+"=1")
	require.NoError(t, command.Start())
	var ended atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = command.Wait()
		ended.Store(true)
	}()
	require.Eventually(t, func() bool {
		now := p.Stats()
		return ended.Load() || now.Reads+now.Writes-before.Reads-before.Writes >= calls
	}, time.Minute, time.Millisecond)
	_ = command.Process.Kill()
	<-done
	server.Close()
	p.SetFaults(platformd.Faults{})
}

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

// asCommand is the environment variable that makes the test binary run as endivemoorctl.
const asCommand = "ENDIVEMOOR_TEST_AS_COMMAND"

// latencyMS slows the platform down, so that the process can be killed between two calls.
const latencyMS = 15

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Failure guarded against: an operator's command is killed during a publish and leaves a partial
// change. The process gets SIGKILL after its first call to the platform, after its second, and so
// on; the call in progress may still take effect. The next command must find or restore a
// consistent state: as many publish entries as generations, and no draft of the published set.
func TestPublishKilledAtAnyMoment(t *testing.T) {
	accepted := 0
	for calls := int64(1); calls <= 20; calls++ {
		p := platformd.NewStore()
		id := preparePublish(t, p)
		killAfter(t, p, calls, "--actor", "aoife", "profile", "publish", "--reason", "sale", id)

		reviewedDraft(t, p, "dora", "[shop]\n[shop.pay]\nworth = 4\n")
		ctx := context.Background()
		current, err := pubstore.New(p, time.Now).Current(ctx)
		require.NoError(t, err)
		drafts, err := pubstore.New(p, time.Now).Drafts(ctx)
		require.NoError(t, err)
		entries, err := auditlog.New(p).All(ctx)
		require.NoError(t, err)
		require.Empty(t, audit.Verify(entries))
		require.EqualValues(t, current.Generation, countPublished(entries), "killed after %d calls", calls)
		if current.Generation == 2 {
			accepted++
		}
		require.Len(t, drafts, 3-int(current.Generation), "killed after %d calls", calls)
	}
	t.Logf("20 kills: %d publishes accepted, %d not", accepted, 20-accepted)
	require.Positive(t, accepted)
	require.Less(t, accepted, 20)
}

func countPublished(entries []audit.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Action == audit.ProfilePublished {
			n++
		}
	}
	return n
}

// preparePublish publishes a first set and creates a reviewed draft of a second one.
func preparePublish(t *testing.T, p *platformd.Store) string {
	t.Helper()
	ctx := context.Background()
	first := reviewedDraft(t, p, "aoife", "[shop]\n[shop.pay]\nworth = 2\n")
	_, err := pubstore.New(p, time.Now).Publish(ctx, pubstore.Attribution{Actor: "aoife", Reason: "first"}, first)
	require.NoError(t, err)
	return reviewedDraft(t, p, "aoife", "[shop]\n[shop.pay]\nworth = 3\n")
}

// reviewedDraft creates a reviewed draft and returns its ID.
func reviewedDraft(t *testing.T, p *platformd.Store, author, text string) string {
	t.Helper()
	ctx := context.Background()
	s := pubstore.New(p, time.Now)
	d, _, err := s.Create(ctx, pubstore.Attribution{Actor: author, Reason: "change"}, "f.ini", []byte(text))
	require.NoError(t, err)
	_, err = s.Review(ctx, pubstore.Attribution{Actor: "brian", Reason: "read"}, d.ID, nil)
	require.NoError(t, err)
	return d.ID
}

// killAfter runs a command as a process against a slow platform and kills it once the platform has
// received the given number of calls, unless the process ended before. A call in progress takes
// effect before killAfter returns.
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

package client_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/client"
)

func start(t *testing.T, o client.Options) (*platformd.Store, *client.Client, *httptest.Server) {
	t.Helper()
	stand := platformd.NewStore()
	server := httptest.NewServer(stand.Handler())
	t.Cleanup(server.Close)
	c, err := client.New(server.URL, o)
	require.NoError(t, err)
	return stand, c, server
}

func TestConditionalUpdates(t *testing.T) {
	ctx := context.Background()
	_, c, _ := start(t, client.Options{})
	_, err := c.Get(ctx, store.PurposeGroup, "groups/a")
	require.ErrorIs(t, err, store.ErrNotFound)
	v1, err := c.Put(ctx, store.PurposeGroup, "groups/a", []byte{0, 0xff}, 0)
	require.NoError(t, err)
	_, err = c.Put(ctx, store.PurposeGroup, "groups/a", []byte("b"), 0)
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, v1, conflict.Current)
	o, err := c.Get(ctx, store.PurposeGroup, "groups/a")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 0xff}, o.Value)
	require.NoError(t, c.Delete(ctx, store.PurposeGroup, "groups/a", v1))
	again, err := c.Put(ctx, store.PurposeGroup, "groups/a", nil, 0)
	require.NoError(t, err)
	require.Greater(t, again, v1, "a version never comes back after a delete")
	list, err := c.List(ctx, store.PurposeGroup, "groups/")
	require.NoError(t, err)
	require.Len(t, list, 1)
}

func TestValueAboveTheLimitIsRefused(t *testing.T) {
	ctx := context.Background()
	_, c, _ := start(t, client.Options{})
	_, err := c.Put(ctx, store.PurposeAudit, "k", make([]byte, store.MaxValue), 0)
	require.NoError(t, err)
	var large *client.TooLargeError
	_, err = c.Put(ctx, store.PurposeAudit, "l", make([]byte, store.MaxValue+1), 0)
	require.ErrorAs(t, err, &large)
}

func TestWatchTellsChangesAndDeletions(t *testing.T) {
	ctx := context.Background()
	_, c, _ := start(t, client.Options{})
	_, rev, err := c.Watch(ctx, store.PurposeDrain, "drains/", 0, time.Minute)
	require.NoError(t, err)
	v, err := c.Put(ctx, store.PurposeDrain, "drains/x", []byte("1"), 0)
	require.NoError(t, err)
	objects, rev, err := c.Watch(ctx, store.PurposeDrain, "drains/", rev, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []store.Object{{Key: "drains/x", Version: v, Value: []byte("1")}}, objects)
	go func() { _ = c.Delete(ctx, store.PurposeDrain, "drains/x", v) }()
	objects, _, err = c.Watch(ctx, store.PurposeDrain, "drains/", rev, time.Minute)
	require.NoError(t, err)
	require.Equal(t, store.Version(0), objects[0].Version)
}

// The store applies a change and the connection is cut before the response:
// the caller must be told that it may have happened, not that it did not.
func TestCutResponseIsNoAnswer(t *testing.T) {
	ctx := context.Background()
	stand, c, _ := start(t, client.Options{})
	stand.SetFaults(platformd.Faults{LoseAnswers: 1})
	_, err := c.Put(ctx, store.PurposeLease, "leases/a", []byte("me"), 0)
	require.ErrorIs(t, err, store.ErrNoAnswer)
	o, err := c.Get(ctx, store.PurposeLease, "leases/a")
	require.NoError(t, err)
	require.Equal(t, "me", string(o.Value))
}

// gate holds requests back between their arrival and the store.
type gate struct {
	next    http.Handler
	arrived chan struct{}
	open    chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r = r.WithContext(context.WithoutCancel(r.Context()))
	r.Body = io.NopCloser(bytes.NewReader(body))
	g.arrived <- struct{}{}
	<-g.open
	g.next.ServeHTTP(w, r)
}

// The store is slow, the caller gives up while its change is there, and the
// change takes effect afterwards. "Unavailable" would say that it did not.
func TestChangeGivenUpOnIsNoAnswer(t *testing.T) {
	stand := platformd.NewStore()
	g := &gate{next: stand.Handler(), arrived: make(chan struct{}), open: make(chan struct{})}
	server := httptest.NewServer(g)
	defer server.Close()
	c, err := client.New(server.URL, client.Options{Timeout: time.Minute})
	require.NoError(t, err)
	giveUp := func(call func(ctx context.Context) error) error {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-g.arrived; cancel() }()
		return call(ctx)
	}
	require.ErrorIs(t, giveUp(func(ctx context.Context) error {
		_, err := c.Put(ctx, store.PurposeLease, "leases/a", []byte("me"), 0)
		return err
	}), store.ErrNoAnswer)
	require.ErrorIs(t, giveUp(func(ctx context.Context) error {
		_, err := c.Get(ctx, store.PurposeLease, "leases/a")
		return err
	}), store.ErrUnavailable, "a read has no effect to be in doubt of")
	close(g.open)
	require.Eventually(t, func() bool {
		_, err := stand.Get(context.Background(), store.PurposeLease, "leases/a")
		return err == nil
	}, time.Minute, time.Millisecond)
}

// Nothing listens, or the store refuses: a change surely had no effect, so its
// caller may say "not accepted" during an outage.
func TestRefusedCallsSurelyHadNoEffect(t *testing.T) {
	ctx := context.Background()
	stand, c, server := start(t, client.Options{})
	stand.SetFaults(platformd.Faults{Down: true})
	_, err := c.Put(ctx, store.PurposeLease, "k", nil, 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	server.Close()
	// A new client: one with an idle connection may write to it before it
	// learns of the close, and then honestly does not know.
	fresh, err := client.New(server.URL, client.Options{})
	require.NoError(t, err)
	_, err = fresh.Put(ctx, store.PurposeLease, "k", nil, 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestCallsAreCountedByPurposeAndResult(t *testing.T) {
	ctx := context.Background()
	registry := prometheus.NewRegistry()
	stand, c, _ := start(t, client.Options{Registerer: registry})
	_, _ = c.Get(ctx, store.PurposeGroup, "none")
	_, _ = c.Put(ctx, store.PurposeAudit, "k", nil, 0)
	_, _ = c.VMs(ctx)
	require.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP endivemoor_platform_calls_total Calls to the platform's object API, by purpose and result.
# TYPE endivemoor_platform_calls_total counter
endivemoor_platform_calls_total{purpose="audit",result="ok"} 1
endivemoor_platform_calls_total{purpose="group",result="not_found"} 1
endivemoor_platform_calls_total{purpose="vms",result="ok"} 1
`), "endivemoor_platform_calls_total"))
	require.EqualValues(t, 1, stand.Stats().ByPurpose["audit"]["put"])
}

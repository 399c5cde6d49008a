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
	standIn := platformd.NewStore()
	server := httptest.NewServer(standIn.Handler())
	t.Cleanup(server.Close)
	c, err := client.New(server.URL, o)
	require.NoError(t, err)
	return standIn, c, server
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
	require.Greater(t, again, v1, "versions must increase across a delete")
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

func TestWatchReturnsChangesAndDeletions(t *testing.T) {
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

// The store applies a change and the connection breaks before the response. The client must report
// that the change may have taken effect, not that it had no effect.
func TestCutResponseIsNoAnswer(t *testing.T) {
	ctx := context.Background()
	standIn, c, _ := start(t, client.Options{})
	standIn.SetFaults(platformd.Faults{LoseAnswers: 1})
	_, err := c.Put(ctx, store.PurposeLease, "leases/a", []byte("me"), 0)
	require.ErrorIs(t, err, store.ErrNoAnswer)
	o, err := c.Get(ctx, store.PurposeLease, "leases/a")
	require.NoError(t, err)
	require.Equal(t, "me", string(o.Value))
}

// gate delays requests between their arrival and the store, until open is closed.
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

// The caller cancels a change that has reached a slow store, and the change takes effect afterwards.
// Failure guarded against: the client reports ErrUnavailable, which means that it had no effect.
func TestCancelledChangeIsNoAnswer(t *testing.T) {
	standIn := platformd.NewStore()
	g := &gate{next: standIn.Handler(), arrived: make(chan struct{}), open: make(chan struct{})}
	server := httptest.NewServer(g)
	defer server.Close()
	c, err := client.New(server.URL, client.Options{Timeout: time.Minute})
	require.NoError(t, err)
	cancelOnArrival := func(call func(ctx context.Context) error) error {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-g.arrived; cancel() }()
		return call(ctx)
	}
	require.ErrorIs(t, cancelOnArrival(func(ctx context.Context) error {
		_, err := c.Put(ctx, store.PurposeLease, "leases/a", []byte("me"), 0)
		return err
	}), store.ErrNoAnswer)
	require.ErrorIs(t, cancelOnArrival(func(ctx context.Context) error {
		_, err := c.Get(ctx, store.PurposeLease, "leases/a")
		return err
	}), store.ErrUnavailable, "a read has no effect")
	close(g.open)
	require.Eventually(t, func() bool {
		_, err := standIn.Get(context.Background(), store.PurposeLease, "leases/a")
		return err == nil
	}, time.Minute, time.Millisecond)
}

// The store refuses a change, or no process listens on its port. The change certainly had no effect,
// so that the caller can report "not accepted" during an outage.
func TestRefusedCallsAreUnavailable(t *testing.T) {
	ctx := context.Background()
	standIn, c, server := start(t, client.Options{})
	standIn.SetFaults(platformd.Faults{Down: true})
	_, err := c.Put(ctx, store.PurposeLease, "k", nil, 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	server.Close()
	// A new client is necessary: one with an idle connection may write to it before it detects that
	// the connection was closed, and then correctly returns ErrNoAnswer.
	unconnected, err := client.New(server.URL, client.Options{})
	require.NoError(t, err)
	_, err = unconnected.Put(ctx, store.PurposeLease, "k", nil, 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestCallsAreCountedByPurposeAndResult(t *testing.T) {
	ctx := context.Background()
	registry := prometheus.NewRegistry()
	standIn, c, _ := start(t, client.Options{Registerer: registry})
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
	require.EqualValues(t, 1, standIn.Stats().ByPurpose["audit"]["put"])
}

// Failure guarded against: a change lands in a store that was restored since its condition was read,
// on another VM's change that has the same count. Taken for a success, it would reserve terms that
// are not this VM's.
func TestChangeInALaterEraIsNoAnswer(t *testing.T) {
	era, calls := "1", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set("Store-Era", era)
		_, _ = io.WriteString(w, `{"meta":{"name":"a","rev":7},"spec":{}}`)
	}))
	t.Cleanup(server.Close)
	c, err := client.New(server.URL, client.Options{})
	require.NoError(t, err)
	ctx := context.Background()
	o, err := c.Get(ctx, store.PurposeGroup, "groups/a")
	require.NoError(t, err)
	era = "2"
	_, err = c.Put(ctx, store.PurposeGroup, "groups/a", nil, o.Version)
	require.ErrorIs(t, err, store.ErrNoAnswer)
	_, err = c.Put(ctx, store.PurposeGroup, "groups/a", nil, o.Version)
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict, "the condition is of an era that is known to be over")
	require.Equal(t, 2, calls)
}

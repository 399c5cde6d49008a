package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/platform/boot"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/standin/objectstore"
)

// conditionTest returns a daemon, only as far as its entry needs it, whose list says that it is calm.
func conditionTest(t *testing.T) (*Edge, *objectstore.Store, *catalog.Catalog) {
	store := objectstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	e := &Edge{
		settings: &boot.Settings{Node: "a"}, incarnation: "a-1", metrics: prometheus.NewRegistry(),
		store: objects.New(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
	}
	e.fleetEntry, e.condition = newFleetEntry(e), newOwnCondition(e)
	store.Put(kindFleet, prefixVM+"a", e.fleetEntry.record())
	return e, store, &catalog.Catalog{VMs: []catalog.VM{{ID: "a", Incarnation: "a-1"}}}
}

// Guards against: VMs that write their entries over and over, which makes all VMs select gateways.
func TestConditionIsWrittenOnceInTenSeconds(t *testing.T) {
	e, _, c := conditionTest(t)
	o, now := e.condition, clock.Time(time.Hour)
	require.False(t, o.claimWrite(c, now), "the list says the same")
	o.is = catalog.Loaded
	require.True(t, o.claimWrite(c, now))
	require.False(t, o.claimWrite(c, now.Add(time.Minute)), "a write is under way")
	o.writing, o.writtenAt = false, now
	require.False(t, o.claimWrite(c, now.Add(9*time.Second)))
	require.True(t, o.claimWrite(c, now.Add(10*time.Second)), "the write had no effect")
	o.writing = false
	c.VMs[0].Incarnation = "a-0"
	require.False(t, o.claimWrite(c, now.Add(time.Minute)), "the entry of an earlier process")
}

// Guards against: an entry that comes back after its VM has removed it, or loses its condition as it is
// written again.
func TestEntryIsNotUpdatedWhileLeaving(t *testing.T) {
	e, store, c := conditionTest(t)
	e.condition.is = catalog.Yielding
	require.NoError(t, e.fleetEntry.update(context.Background()))
	o, _ := store.Get(kindFleet, prefixVM+"a")
	require.Contains(t, string(o.Spec), `"condition":"yielding"`)
	store.Remove(kindFleet, prefixVM+"a")
	require.NoError(t, e.fleetEntry.update(context.Background()), "left to the check of the entry")
	_, exists := store.Get(kindFleet, prefixVM+"a")
	require.False(t, exists)
	e.shutdown.leaving.Store(true)
	calls := e.store.Calls()
	require.False(t, e.condition.claimWrite(c, 1))
	require.NoError(t, e.fleetEntry.update(context.Background()))
	require.Equal(t, calls, e.store.Calls())
}

package edge

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/standin/objectstore"
)

// recordingFollower records the names of the objects that it holds.
type recordingFollower map[string]int64

func (f recordingFollower) replace(items map[string]*objects.Object) {
	clear(f)
	for name, o := range items {
		f[name] = o.Meta.Revision
	}
}

func (f recordingFollower) apply(o *objects.Object, deleted bool) {
	f[o.Meta.Name] = o.Meta.Revision
	if deleted {
		delete(f, o.Meta.Name)
	}
}

func (f recordingFollower) publish(int64)             {}
func (f recordingFollower) confirm(int64, clock.Time) {}
func (f recordingFollower) adopt(*catalog.Catalog)    {}

// changingStore is a store with lists of one object a page. Before the second page of the first list
// is read, "a" joins on the first page and "c" changes after that.
func changingStore() http.Handler {
	store := objectstore.New()
	store.SetPageSize(1)
	store.Put("vms", "b", 1)
	store.Put("vms", "c", 1)
	pages := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pages++; pages == 2 {
			store.Put("vms", "a", 1)
			store.Put("vms", "c", 2)
		}
		store.ServeHTTP(w, r)
	})
}

// Guards against: an object that is missing for good in a list of several pages, because it changed
// on a page that was already read.
func TestChangeBetweenThePagesOfAListIsReceived(t *testing.T) {
	server := httptest.NewServer(changingStore())
	defer server.Close()
	f := make(recordingFollower)
	w := &watch{
		kind: "vms", covered: func() bool { return false }, outage: &outage{clk: monotonic.New()}, clk: monotonic.New(),
		store: objects.New(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport), log: zap.NewNop(), follower: f,
	}
	require.NoError(t, w.step(context.Background()))
	require.Equal(t, []string{"b", "c"}, slices.Sorted(maps.Keys(f)))
	require.NoError(t, w.step(context.Background()))
	require.Equal(t, []string{"a", "b", "c"}, slices.Sorted(maps.Keys(f)))
}

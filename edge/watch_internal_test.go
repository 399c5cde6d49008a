package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/platform/objects"
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

// pagedStore answers lists of two pages. Between the two, "a" joins on the first page, and the second
// page has an object that changed after that.
func pagedStore(w http.ResponseWriter, r *http.Request) {
	type object = map[string]any
	named := func(name string, revision int64) object {
		return object{"meta": object{"name": name, "rev": revision}, "spec": object{}}
	}
	out := object{"at-rev": 30}
	switch q := r.URL.Query(); {
	case q.Get("watch") != "":
		var from int64
		_ = json.Unmarshal([]byte(q.Get("watch")), &from)
		if from < 11 {
			out["events"] = []object{{"obj": named("a", 11)}}
		}
	case q.Get("after") == "":
		out["items"], out["has-more"] = []object{named("b", 10)}, true
	default:
		out["items"] = []object{named("c", 12)}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// Guards against: an object that is missing for good in a list of several pages, because it changed
// on a page that was already read.
func TestChangeBetweenThePagesOfAListIsReceived(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(pagedStore))
	defer server.Close()
	f := make(recordingFollower)
	w := &watch{
		kind: "vms", covered: func() bool { return false }, outage: &outage{clk: monotonic.New()}, clk: monotonic.New(),
		store: objects.New(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport), log: zap.NewNop(), follower: f,
	}
	require.NoError(t, w.step(context.Background()))
	require.Equal(t, recordingFollower{"b": 10, "c": 12}, f)
	require.NoError(t, w.step(context.Background()))
	require.Equal(t, recordingFollower{"a": 11, "b": 10, "c": 12}, f)
}

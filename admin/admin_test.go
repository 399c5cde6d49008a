package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/explain"
)

// Failure guarded against: a draining daemon refuses callers while the load balancer still
// considers it ready and sends it new connections.
func TestReadyzTellsTheBalancerWhileHealthStaysUp(t *testing.T) {
	ready := true
	srv := New(Config{
		Ready:      func() (bool, string) { return ready, "draining" },
		Status:     func() any { return nil },
		Requests:   explain.NewRing(1),
		Promotions: explain.NewRing(1),
		Gatherer:   prometheus.NewRegistry(),
	})
	require.Equal(t, http.StatusOK, get(srv, "/readyz").Code)
	ready = false
	require.Equal(t, http.StatusServiceUnavailable, get(srv, "/readyz").Code)
	require.Equal(t, http.StatusOK, get(srv, "/healthz").Code)
	require.Equal(t, http.StatusNotFound, get(srv, "/explain?request=r1").Code)
}

func get(srv *http.Server, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	srv.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

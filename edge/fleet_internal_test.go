package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/standin/objectstore"
)

// Guards against: an attempt that reads the leadership records of thousands of services to learn the
// VMs of the fleet, while its service has no primary.
func TestListOfVMsDoesNotReadTheLeadershipRecords(t *testing.T) {
	store := objectstore.New()
	for i := range 1200 {
		store.Put(kindFleet, fmt.Sprint(prefixLeadership, "ledger-", i), leadershipRecord{Primary: "p"})
	}
	for i := range 600 {
		store.Put(kindFleet, fmt.Sprint(prefixVM, "vm", i), vmRecord{Zone: "a", Peer: "10.0.0.1:7000"})
	}
	server := httptest.NewServer(store)
	defer server.Close()
	e := &Edge{store: objects.New(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)}
	vms, err := e.listVMs(context.Background())
	require.NoError(t, err)
	require.Len(t, vms, 600)
	require.EqualValues(t, 2, e.store.Calls(), "two pages of 500")
}

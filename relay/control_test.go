package relay

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/target"
)

// Failure guarded against: a VM that considers a change of primary has a gateway to a target, but
// opens a connection of its own for the status query. The connections of all VMs take slots that
// readers wait for.
func TestStatusQueriesGoThroughTheGateway(t *testing.T) {
	atGateway, own := &slowTarget{}, &slowTarget{}
	clk := monotonic.New()
	s := NewServer(ServerConfig{Statuses: NewStatuses(atGateway, clk), Control: atGateway, Clock: clk, Groups: registryOn(clk), Serves: func(target.ID) bool { return true }})
	_, handler := s.Handler()
	server := httptest.NewServer(handler)
	defer server.Close()

	c := &catalog.Catalog{
		Config:  &catalog.Config{Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: 2}}},
		Targets: map[target.ID]*catalog.Target{"t": {ID: "t", Service: "s", Zone: "a"}},
		VMs:     []catalog.VM{{ID: "gateway", Zone: "a", Peer: server.Listener.Addr().String()}, {ID: "me", Zone: "b"}, {ID: "other", Zone: "b"}},
	}
	r := NewRouter(RouterConfig{Control: own, Statuses: NewStatuses(own, clk), Groups: registryOn(clk), Clock: clk, Log: zap.NewNop(), Dial: (&net.Dialer{}).DialContext})
	r.Update(gateways.NewAssignment("me", c), c)
	_, _, err := ControlClient{r}.Recent(context.Background(), "t", 0, time.Second)
	require.NoError(t, err)
	_, err = ControlClient{r}.Control(context.Background(), "t", lane.StatusCommand, time.Second)
	require.NoError(t, err)
	require.Equal(t, 2, atGateway.count())
	require.Zero(t, own.count())
}

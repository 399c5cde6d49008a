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
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
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

// Failure guarded against: a target restarts without its log or its pause, and a VM that has no connection to it,
// as it queries it through a gateway, does not learn that one broke.
func TestGatewayTellsOfBrokenConnections(t *testing.T) {
	clk := monotonic.New()
	broken := clk.Now()
	gateway := &slowTarget{}
	s := NewServer(ServerConfig{
		Statuses: NewStatuses(gateway, clk), Control: gateway, Clock: clk, Groups: registryOn(clk), Serves: func(target.ID) bool { return true },
		BrokenAt: func(target.ID) clock.Time { return broken },
	})
	var told clock.Time
	r := NewRouter(RouterConfig{Clock: clk, Broken: func(_ target.ID, at clock.Time) { told = at }})
	ask := func() {
		out, err := s.Ask(context.Background(), &relaypb.AskRequest{Target: "t", TimeoutUs: micros(time.Second)})
		require.NoError(t, err)
		r.recordBreak("t", out.GetBrokenUs())
	}
	ask()
	require.False(t, told.Before(broken))
	broken, told = 0, 0
	ask()
	require.Zero(t, told, "no connection broke")
}

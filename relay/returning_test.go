package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/target"
)

type clockAt struct{ now clock.Time }

func (c clockAt) Now() clock.Time { return c.now }

// serveAt serves a handler at a free port and returns its address.
func serveAt(t *testing.T, h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = http.Serve(ln, h) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// Two VMs are the gateways of a service, and their clocks differ. Failure guarded against: a caller
// who was refused at one of them counts as new at the other, or is due at a wrong time.
func TestOtherGatewaysAreTold(t *testing.T) {
	const first = clock.Time(5 * time.Second)
	there := new(returning.Books)
	book := there.Book("s")
	s := NewServer(ServerConfig{Clock: clockAt{clock.Time(time.Hour)}, Returning: there})
	path, handler := s.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	// The other peer is of a program that does not know the message.
	vms := []catalog.VM{{ID: "here", Zone: "a"}, {ID: "there", Zone: "a", Peer: serveAt(t, mux)}, {ID: "old", Zone: "a", Peer: serveAt(t, http.NotFoundHandler())}}
	holder := catalog.NewHolder()
	holder.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: 2}}})
	holder.SetTargets(map[target.ID]*catalog.Target{"t": {ID: "t", Service: "s", Zone: "a"}, "u": {ID: "u", Service: "s", Zone: "a"}, "v": {ID: "v", Service: "s", Zone: "a"}}, 1)
	holder.SetFleet(vms, nil, 1)
	r := NewRouter(RouterConfig{Clock: clockAt{first.Add(300 * time.Millisecond)}, Statuses: NewStatuses(nil, fixedClock{}), Log: zap.NewNop(), Dial: (&net.Dialer{}).DialContext})
	r.Update(gateways.NewAssignment("here", holder.Load()), holder.Load())

	var here returning.Books
	here.Book("s").Refuse(returning.Refused{Caller: 7, First: first})
	r.tell(context.Background(), refusedRequest("s", here.Untold()["s"], r.cfg.Clock.Now()))
	now := clock.Time(time.Hour)
	require.Eventually(t, func() bool { return book.Len() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, now.Add(-300*time.Millisecond), book.Take(now, 7, now, time.Second))
	book.Refuse(returning.Refused{Caller: 7, First: now.Add(-300 * time.Millisecond)})
	here.Book("s").Take(r.cfg.Clock.Now(), 7, r.cfg.Clock.Now(), time.Second)
	r.tell(context.Background(), refusedRequest("s", here.Untold()["s"], r.cfg.Clock.Now()))
	require.Eventually(t, func() bool { return book.Len() == 0 }, time.Second, time.Millisecond, "who has returned is forgotten")
	require.False(t, r.peers.inBackoff(vms[2].Peer), "an old program is a gateway as before")
}

// Failure guarded against: a VM that was suspended tells of callers who have left.
func TestCallersWhoLeftAreNotTold(t *testing.T) {
	in := refusedRequest("s", returning.News{Refused: []returning.Refused{{Caller: 7, First: 1}}}, clock.Time(returning.MaxAge)+1)
	require.Empty(t, in.GetCallers())
	_, err := NewServer(ServerConfig{}).Refused(context.Background(), &relaypb.RefusedRequest{Service: "s", Callers: []uint64{7}})
	require.NoError(t, err)
}

package filter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/view"
)

type brokenLease struct{ broken int }

func (b *brokenLease) Break() { b.broken++ }

// A primary freezes with a purchase on it, and another server is promoted. The
// purchase waited for the frozen server until its own deadline of eight seconds
// (seen on processes). It must be let go at the promotion, and only then: a
// change of profiles, a reservation of terms and a request that has ended are
// none of its business.
func TestRequestsAreLetGoWhenTheirPrimaryIsSuperseded(t *testing.T) {
	views := view.NewHolder()
	g := &view.Group{Name: "g", Term: 1, Primary: "a", Servers: []view.Server{{ID: "a"}, {ID: "b"}}}
	views.Adopt(g)
	x := NewRunning(views)
	at := func(server int) *Request { return &Request{Group: g, Server: &g.Servers[server], Term: 1} }
	purchase, read, ended := &brokenLease{}, &brokenLease{}, &brokenLease{}
	x.Enter(at(0), purchase)
	x.Enter(at(1), read)
	x.Enter(at(0), ended)()

	views.Adopt(&view.Group{Name: "g", Term: 1, Primary: "a", Reserved: 5})
	x.look()
	require.Zero(t, purchase.broken)
	views.Adopt(&view.Group{Name: "g", Term: 2, Primary: "b", Reserved: 5})
	x.look()
	x.look()
	require.Equal(t, 1, purchase.broken)
	require.Zero(t, read.broken, "a replica's answer is judged by its own evidence")
	require.Zero(t, ended.broken)
}

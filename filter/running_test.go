package filter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/view"
)

type countingLease struct{ broken int }

func (b *countingLease) Break() { b.broken++ }

// Failure guarded against: a primary freezes while it runs a purchase, and another server is
// promoted, but the purchase waits for the frozen server until its own deadline of eight seconds.
// The purchase's lease must be broken at the promotion and only then. A change of profiles, a
// reservation of terms and a request that has already ended must break nothing.
func TestLeasesAreBrokenWhenTheirPrimaryIsSuperseded(t *testing.T) {
	views := view.NewHolder()
	g := &view.Group{Name: "g", Term: 1, Primary: "a", Servers: []view.Server{{ID: "a"}, {ID: "b"}}}
	views.Adopt(g)
	x := NewRunning(views)
	at := func(server int) *Request { return &Request{Group: g, Server: &g.Servers[server], Term: 1} }
	purchase, read, ended := &countingLease{}, &countingLease{}, &countingLease{}
	x.Enter(at(0), purchase)
	x.Enter(at(1), read)
	x.Enter(at(0), ended)()

	views.Adopt(&view.Group{Name: "g", Term: 1, Primary: "a", Reserved: 5})
	x.poll()
	require.Zero(t, purchase.broken)
	views.Adopt(&view.Group{Name: "g", Term: 2, Primary: "b", Reserved: 5})
	x.poll()
	x.poll()
	require.Equal(t, 1, purchase.broken)
	require.Zero(t, read.broken, "a replica's answer relies on its own evidence")
	require.Zero(t, ended.broken)
}

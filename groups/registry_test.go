package groups

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// manual is a clock that only the test advances.
type manual struct{ now clock.Time }

func (m *manual) Now() clock.Time { return m.now }

func registryOf(n int) (*Registry, *manual) {
	clk := &manual{now: 1}
	r := NewRegistry(Config{Catalog: catalog.NewHolder(), Clock: clk})
	for i := range n {
		r.Group(fmt.Sprint("s", i))
	}
	return r, clk
}

func names(groups []*Group) []string {
	out := []string{}
	for _, g := range groups {
		out = append(out, g.Service)
	}
	return out
}

// A fleet has thousands of services, and a VM's consumers use one of them. The VM checks that one
// in each tick and each of the others only now and then, or it would spend its time for control on
// services that it does not use.
func TestUsedServicesAreDueEachTickAndOthersInRotation(t *testing.T) {
	const services = 2900
	r, clk := registryOf(services)
	require.Empty(t, r.Used())
	r.Use("s7")
	require.Equal(t, []string{"s7"}, names(r.Used()))
	seen := make(map[string]int)
	for tick := range Ticks {
		due := names(r.Due(tick))
		require.Contains(t, due, "s7")
		require.Less(t, len(due), 2*services/Ticks)
		for _, name := range due {
			seen[name]++
		}
	}
	require.Len(t, seen, services)
	require.Equal(t, Ticks, seen["s7"])
	require.Equal(t, 1, seen["s8"])

	clk.now = clk.now.Add(inUseWindow - 1)
	r.Use("s7")
	clk.now = clk.now.Add(inUseWindow - 1)
	require.Equal(t, []string{"s7"}, names(r.Used()), "its use was renewed")
	clk.now = clk.now.Add(1)
	require.Empty(t, r.Used())
}

// With few services, a VM that has just started has the proofs for all of them before its first
// request.
func TestAFewServicesAllCountAsUsed(t *testing.T) {
	r, _ := registryOf(allUsedLimit)
	require.True(t, r.AllUsed())
	require.Len(t, r.Used(), allUsedLimit)
	require.Len(t, r.Due(3), allUsedLimit)
	r.Group("one more")
	require.False(t, r.AllUsed())
	require.Empty(t, r.Used())
}

func TestMostRecentServicesAreThoseOfTheLatestRequests(t *testing.T) {
	r, clk := registryOf(100)
	for i := range 100 {
		r.Use(fmt.Sprint("s", i))
		clk.now = clk.now.Add(useResolution / 2)
	}
	require.Equal(t, []string{"s99", "s98", "s97"}, names(r.MostRecent(3)))
	r.Use("s3")
	require.Equal(t, "s3", r.MostRecent(3)[0].Service)
	require.Len(t, r.MostRecent(1000), 100)
}

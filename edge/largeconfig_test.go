package edge_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/takeover"
)

const (
	// applyWithin is in how much time a configuration must be in force everywhere.
	applyWithin = 5 * time.Second
	// slowLink is the link of a small VM, 10 Mbit/s, in bytes a second.
	slowLink = 10_000_000 / 8
	// manyRoutes is how many routes a configuration near the store's limit for an object has.
	manyRoutes = 5000
)

// routesUpTo are the standard routes and others that nobody asks for, n in all.
func routesUpTo(n int) []catalog.Route {
	out := standardRoutes()
	for i := len(out); i < n; i++ {
		out = append(out, catalog.Route{
			// Names that compress no better than those of tenants do.
			Database: strconv.FormatUint(xxhash.Sum64String(strconv.Itoa(i)), 36), Service: service, Freshness: catalog.Bounded, MaxAge: 1500 * time.Millisecond,
			StatementTimeout: time.Second, Objective: 400 * time.Millisecond, Priority: 2,
		})
	}
	return out
}

func lastOf(routes []catalog.Route) string { return routes[len(routes)-1].Database }

// playOverLinks runs a scenario with n VMs whose links have rates, in bytes a second, 0 for no bound.
func playOverLinks(t *testing.T, n int, rate func(vm string, names []string) int, scenario func(f *fleet)) {
	play(t, 0, func(f *fleet) {
		f.applyWithin = applyWithin
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("vm%d", i)
		}
		for i, name := range names {
			f.world.Net.SetRate(name, rate(name, names))
			f.start(name, zones[i%len(zones)], i+1)
		}
		time.Sleep(5 * time.Second)
		scenario(f)
	})
}

// inForce checks that all VMs go by a configuration that has the database.
func (f *fleet) inForce(database string) {
	f.t.Helper()
	var late []string
	for _, name := range slices.Sorted(maps.Keys(f.vms)) {
		c, a := f.world.Open(f.nextConsumer(), f.addr(name), database)
		if a.State != "I" {
			late = append(late, name)
		}
		if c != nil {
			c.Close()
		}
	}
	require.Empty(f.t, late, "VMs that do not know the route")
}

// Guards against a configuration that is too large for one exchange between VMs with slow links, and so is never taken.
func TestLargeConfigurationIsInForceInTimeOverSlowLinks(t *testing.T) {
	slow := func(string, []string) int { return slowLink }
	playOverLinks(t, 30, slow, func(f *fleet) {
		f.world.SetRoutes(routesUpTo(manyRoutes - 1400)...)
		time.Sleep(10 * time.Second)
		routes := routesUpTo(manyRoutes)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.inForce(lastOf(routes))
	})
}

// lookoutsOf are the VMs that look out for the others.
func lookoutsOf(names []string) []string {
	const lookouts = 6
	turn := func(a, b string) int {
		return int(takeover.StaggerDelay("store", a, names) - takeover.StaggerDelay("store", b, names))
	}
	return slices.SortedFunc(slices.Values(names), turn)[:lookouts]
}

// Guards against a configuration that a VM with a slow link cannot read within one call to the store.
func TestLargeConfigurationIsReadOverAVerySlowLink(t *testing.T) {
	const verySlow = 300_000
	rate := func(vm string, names []string) int {
		if slices.Contains(lookoutsOf(names), vm) {
			return verySlow
		}
		return 0
	}
	playOverLinks(t, 30, rate, func(f *fleet) {
		routes := routesUpTo(manyRoutes)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.inForce(lastOf(routes))
	})
}

// Guards against VMs that leave the watch of the configuration to others on a word about the fleet's list.
func TestConfigurationIsInForceThoughItsLookoutsCannotReadIt(t *testing.T) {
	fast := func(string, []string) int { return 0 }
	playOverLinks(t, 30, fast, func(f *fleet) {
		// Watches that began before a VM rested have run out.
		time.Sleep(15 * time.Second)
		for _, name := range lookoutsOf(slices.Collect(maps.Keys(f.vms))) {
			f.world.Store.RefuseKind(name, "config")
		}
		routes := routesUpTo(10)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.inForce(lastOf(routes))
	})
}

// Guards against a VM that sits in a long watch which has gone silent after those that look out were turned away.
func TestConfigurationIsInForceThoughWatchesAreSilent(t *testing.T) {
	fast := func(string, []string) int { return 0 }
	playOverLinks(t, 9, fast, func(f *fleet) {
		names := slices.Collect(maps.Keys(f.vms))
		for _, name := range lookoutsOf(names)[:3] {
			f.world.Store.RefuseKind(name, "config")
		}
		f.world.SetRoutes(routesUpTo(9)...)
		time.Sleep(time.Second)
		for _, name := range names {
			f.world.SilenceStore(name)
		}
		routes := routesUpTo(10)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.inForce(lastOf(routes))
	})
}

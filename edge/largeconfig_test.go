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
	// applyWithin is the time within which a configuration must be in force everywhere.
	applyWithin = 5 * time.Second
	// slowLink is the rate of a small VM's link, 10 Mbit/s, in bytes a second.
	slowLink = 10_000_000 / 8
	// manyRoutes is the number of routes in a configuration near the store's size limit for an
	// object.
	manyRoutes = 5000
)

// routesUpTo returns n routes: the standard ones and others that no consumer uses.
func routesUpTo(n int) []catalog.Route {
	out := standardRoutes()
	for i := len(out); i < n; i++ {
		out = append(out, catalog.Route{
			// The names compress no better than those of tenants do.
			Database: strconv.FormatUint(xxhash.Sum64String(strconv.Itoa(i)), 36), Service: service, Freshness: catalog.Bounded, MaxAge: 1500 * time.Millisecond,
			StatementTimeout: time.Second, Objective: 400 * time.Millisecond, Priority: 2,
		})
	}
	return out
}

func lastDatabase(routes []catalog.Route) string { return routes[len(routes)-1].Database }

// runFleetOverLinks runs a scenario with n VMs whose links have the given rates in bytes a second;
// 0 is unlimited.
func runFleetOverLinks(t *testing.T, n int, rate func(vm string, names []string) int, scenario func(f *fleet)) {
	runFleet(t, 0, func(f *fleet) {
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

// requireRoute checks that all VMs apply a configuration with the database.
func (f *fleet) requireRoute(database string) {
	f.t.Helper()
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(f.vms)) {
		c, a := f.world.Open(f.nextConsumer(), f.addr(name), database)
		if a.State != "I" {
			missing = append(missing, name)
		}
		if c != nil {
			c.Close()
		}
	}
	require.Empty(f.t, missing, "VMs without the route")
}

// Guards against: a configuration that is never applied because it is too large for one exchange
// between VMs with slow links.
func TestLargeConfigurationIsInForceInTimeOverSlowLinks(t *testing.T) {
	slow := func(string, []string) int { return slowLink }
	runFleetOverLinks(t, 30, slow, func(f *fleet) {
		f.world.SetRoutes(routesUpTo(manyRoutes - 1400)...)
		time.Sleep(10 * time.Second)
		routes := routesUpTo(manyRoutes)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.requireRoute(lastDatabase(routes))
	})
}

// watchersOf returns the designated watchers.
func watchersOf(names []string) []string {
	const watchers = 6
	byRank := func(a, b string) int {
		return int(takeover.StaggerDelay("store", a, names) - takeover.StaggerDelay("store", b, names))
	}
	return slices.SortedFunc(slices.Values(names), byRank)[:watchers]
}

// Guards against: a configuration that is never applied because a VM with a slow link cannot read
// it within one call to the store.
func TestLargeConfigurationIsReadOverAVerySlowLink(t *testing.T) {
	const verySlow = 300_000
	rate := func(vm string, names []string) int {
		if slices.Contains(watchersOf(names), vm) {
			return verySlow
		}
		return 0
	}
	runFleetOverLinks(t, 30, rate, func(f *fleet) {
		routes := routesUpTo(manyRoutes)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.requireRoute(lastDatabase(routes))
	})
}

// Guards against: VMs that suspend the watch of the configuration because of evidence about the
// fleet's list.
func TestConfigurationIsInForceThoughItsDesignatedWatchersCannotReadIt(t *testing.T) {
	fast := func(string, []string) int { return 0 }
	runFleetOverLinks(t, 30, fast, func(f *fleet) {
		// Watch calls that began before a VM suspended its watch have ended by now.
		time.Sleep(15 * time.Second)
		for _, name := range watchersOf(slices.Collect(maps.Keys(f.vms))) {
			f.world.Store.RefuseKind(name, "config")
		}
		routes := routesUpTo(10)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.requireRoute(lastDatabase(routes))
	})
}

// Guards against: a VM that stays in a hanging long watch after the designated watchers were
// refused by the store.
func TestConfigurationIsInForceThoughWatchesAreSilent(t *testing.T) {
	fast := func(string, []string) int { return 0 }
	runFleetOverLinks(t, 9, fast, func(f *fleet) {
		names := slices.Collect(maps.Keys(f.vms))
		for _, name := range watchersOf(names)[:3] {
			f.world.Store.RefuseKind(name, "config")
		}
		f.world.SetRoutes(routesUpTo(9)...)
		time.Sleep(time.Second)
		for _, name := range names {
			f.world.StallStoreConnections(name)
		}
		routes := routesUpTo(10)
		f.world.SetRoutes(routes...)
		time.Sleep(applyWithin)
		f.requireRoute(lastDatabase(routes))
	})
}

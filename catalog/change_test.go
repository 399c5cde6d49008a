package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawConfig draws a configuration over a few names, so that routes are added, changed and removed
// from one version to the next.
func drawConfig(t *rapid.T, version int64) *Config {
	c := &Config{Version: version, Routes: make(map[string]*Route), Services: make(map[string]*Service)}
	c.TransactionIdle = time.Duration(rapid.IntRange(1, 3).Draw(t, "idle")) * time.Second
	for _, name := range []string{"a", "b", "c", "d"} {
		if kind := rapid.IntRange(0, 3).Draw(t, name); kind > 0 {
			c.Routes[name] = &Route{Name: "r", Database: name, Service: "s", Priority: kind}
			c.Services[name] = &Service{Name: name, MaxConnections: kind}
		}
	}
	return c
}

// VMs have different versions, some of them many versions behind, while routes are added, changed,
// removed and added again. A VM that applies the change since its version has the same configuration
// as one that reads the full configuration.
func TestChangesLeadToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		var versions []*Config
		version := int64(0)
		for range rapid.IntRange(2, 8).Draw(t, "versions") {
			version += int64(rapid.IntRange(1, 3).Draw(t, "step"))
			c := drawConfig(t, version)
			versions = append(versions, c)
			require.True(t, h.SetConfig(c))
		}
		now := h.Load()
		for _, base := range versions {
			require.Equal(t, now.Config, Diff(base, now.Config).Apply(base))
			if change := now.ConfigSince(base.Version); change != nil {
				require.Equal(t, now.Config, change.Apply(base))
			}
		}
	})
}

// Failure guarded against: a VM gets a new version while the reply to its pull is in flight, or pulls
// from a version whose changes are not retained. A change applied to another base would leave it
// with a route that the others do not have.
func TestAChangeHoldsForItsOwnVersionOnly(t *testing.T) {
	one, two, three := small(1, 1), small(2, 2), small(3, 3)
	require.Nil(t, Diff(one, two).Apply(three))
	require.Nil(t, Diff(one, two).Apply(nil))
	h := NewHolder()
	require.Nil(t, h.Load().ConfigSince(0))
	h.SetConfig(two)
	h.SetConfig(three)
	require.Nil(t, h.Load().ConfigSince(1))
	require.NotNil(t, h.Load().ConfigSince(2))
}

func small(version int64, priority int) *Config {
	c := &Config{Version: version, Routes: map[string]*Route{}, Services: map[string]*Service{}}
	for i := range 10 {
		c.Routes[fmt.Sprint(i)] = &Route{Database: fmt.Sprint(i)}
	}
	c.Routes["0"].Priority = priority
	return c
}

// Failure guarded against: a burst of changes, or a change that replaces every entry, grows the
// retained changes without bound. A change with no fewer entries than the full list is not sent.
func TestRetainedChangesAreBounded(t *testing.T) {
	h := NewHolder()
	for v := range 3 * maxChanges {
		h.SetConfig(small(int64(v+1), v))
	}
	now := h.Load()
	require.Len(t, now.changes, maxChanges)
	require.Nil(t, now.ConfigSince(1))
	require.Len(t, now.ConfigSince(now.Config.Version-maxChanges).Routes, 1)

	full := small(1000, 1)
	for i := range 2 * minChanged {
		full.Routes[fmt.Sprint("new", i)] = &Route{}
	}
	h.SetConfig(full)
	sum := 0
	for _, step := range h.Load().changes {
		sum += step.entries()
	}
	require.LessOrEqual(t, sum, full.entries())
	h.SetConfig(small(1001, 1))
	require.Empty(t, h.Load().changes)
	require.Nil(t, h.Load().ConfigSince(1000))
}

// Failure guarded against: a large change that is still far smaller than its list costs each VM the
// full list.
func TestLargeChangeOfALargerListIsSent(t *testing.T) {
	before, after := small(14, 1), small(16, 1)
	for i := range 4266 {
		name := fmt.Sprint("tenant", i)
		after.Routes[name] = &Route{Database: name}
		if i < 2866 {
			before.Routes[name] = &Route{Database: name}
		}
	}
	h := NewHolder()
	h.SetConfig(before)
	h.SetConfig(after)
	require.NotNil(t, h.Load().ConfigSince(14))
	require.Len(t, h.Load().ConfigSince(14).Routes, 1400)
	require.Equal(t, after, h.Load().ConfigSince(14).Apply(before))
}

package callers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
)

// version returns a configuration with the given holders by key.
func version(holders map[string]string) *catalog.Config {
	c := &catalog.Config{Keyed: true, Workspaces: make(map[string]*catalog.Workspace), Keys: make(map[string]*catalog.Key)}
	for key, holder := range holders {
		c.Workspaces[holder] = &catalog.Workspace{Name: holder}
		c.Keys[string(catalog.DigestKey(key))] = &catalog.Key{Workspace: holder}
	}
	return c
}

func TestIdentify(t *testing.T) {
	keyed := version(map[string]string{"k1": "north"})
	closed, public := &catalog.Route{}, &catalog.Route{Public: true}
	for _, c := range []struct {
		name   string
		config *catalog.Config
		route  *catalog.Route
		key    string
		holder string
		ok     bool
	}{
		{"a holder's key", keyed, closed, "k1", "north", true},
		{"a key without a holder", keyed, closed, "k2", "", false},
		{"no key", keyed, closed, "", "", false},
		{"a key without a holder on a public route", keyed, public, "k2", "", true},
		{"a holder's key on a public route", keyed, public, "k1", "north", true},
		{"callers without keys", &catalog.Config{}, closed, "k2", "", true},
		{"a key without its workspace", &catalog.Config{Keyed: true, Keys: keyed.Keys}, closed, "k1", "", false},
	} {
		caller, ok := Identify(c.config, c.route, catalog.DigestKey(c.key))
		require.Equal(t, c.ok, ok, c.name)
		require.Equal(t, c.holder, caller.Name(), c.name)
	}
}

// Failure guarded against: a transaction continues after its caller's key was revoked.
func TestTransactionEndsWithItsKey(t *testing.T) {
	route, key := &catalog.Route{}, catalog.DigestKey("k1")
	began, _ := Identify(version(map[string]string{"k1": "north"}), route, key)
	require.True(t, StillAuthorized(version(map[string]string{"k1": "north", "k2": "south"}), route, key, began))
	require.False(t, StillAuthorized(version(map[string]string{"k2": "north"}), route, key, began), "revoked")
	require.False(t, StillAuthorized(version(map[string]string{"k1": "south"}), route, key, began), "moved")
	require.False(t, StillAuthorized(version(nil), &catalog.Route{Public: true}, key, began), "revoked, on a public route")
}

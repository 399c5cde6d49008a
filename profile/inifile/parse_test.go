package inifile

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/profile"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse.txt", func(t *testing.T, d *datadriven.TestData) string {
		set, findings := Parse("p.ini", []byte(d.Input))
		var b strings.Builder
		for _, f := range findings {
			b.WriteString(f.String() + "\n")
		}
		if set != nil {
			describe(&b, set)
		}
		return b.String()
	})
}

func describe(b *strings.Builder, set *profile.Set) {
	for _, name := range slices.Sorted(maps.Keys(set.Profiles)) {
		p := set.Profiles[name]
		fmt.Fprintf(b, "%s: grace=%s queued=%d sessions=%d default=%s\n", name, p.DrainGrace, p.MaxQueued, p.MaxSessions, p.Default.Name)
		for _, kind := range slices.Sorted(maps.Keys(p.Kinds)) {
			k := p.Kinds[kind]
			fmt.Fprintf(b, "  %s: read=%t worth=%g deadline=%s age=%s idempotent=%t key=%d durability=%d\n",
				kind, k.Access == profile.Read, k.Worth, k.Deadline, k.MaxAge, k.Idempotent, k.Key, k.Durability)
		}
	}
}

// Operators copy the examples, so each must be accepted without any finding.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, user := range []string{"skybridge", "caledonian"} {
		text, err := os.ReadFile("../../examples/" + user + "/profiles.ini")
		require.NoError(t, err)
		set, findings := Parse(user, text)
		require.Empty(t, findings)
		require.Len(t, set.Profiles, 2)
	}
}

func TestWithoutRemovesAProfileAndItsKindsOnly(t *testing.T) {
	text := []byte("# shop\n[shop]\n[shop.pay]\nkey = required\n[shopping]\n# kept\n[shopping.pay]\nworth = 3 ; three\n")
	left, err := Without(text, "shop")
	require.NoError(t, err)
	set, findings := Parse("left.ini", left)
	require.Empty(t, findings)
	require.Len(t, set.Profiles, 1)
	require.InDelta(t, 3, set.Profile("shopping").KindOf("pay").Worth, 0)
	require.Contains(t, string(left), "# kept")
	_, err = Without(text, "shopp")
	require.ErrorIs(t, err, ErrNoProfile)
}

// docs/PROFILES.md is the operators' reference and must list every key.
func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROFILES.md")
	require.NoError(t, err)
	keys := []string{
		keyMaxReadAge, keyDrainGrace, keyMaxQueued, keyMaxSessions, keyDefaultKind,
		keyAccess, keyWorth, keyDeadline, keyMaxAge, keyIdempotent, keyKey, keyDurability,
	}
	for _, key := range keys {
		require.Contains(t, string(page), "| `"+key+"` |")
	}
}

func FuzzParse(f *testing.F) {
	for _, user := range []string{"skybridge", "caledonian"} {
		text, err := os.ReadFile("../../examples/" + user + "/profiles.ini")
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, findings := Parse("f.ini", text)
		require.Equal(t, set == nil, findings.Refused())
		again, _ := Parse("f.ini", text)
		require.Equal(t, set, again, "two proxies must parse the same text to the same set")
		if set != nil {
			requireBounds(t, set)
		}
	})
}

func requireBounds(t *testing.T, set *profile.Set) {
	t.Helper()
	for _, p := range set.Profiles {
		require.NotNil(t, p.Default)
		for _, k := range p.Kinds {
			require.GreaterOrEqual(t, k.Deadline, minDeadline)
			require.LessOrEqual(t, k.MaxAge, MaxAgeLimit)
			require.True(t, k.Worth >= 0 && k.Worth <= maxWorth)
			require.False(t, k.Access == profile.Write && k.MaxAge != 0)
		}
	}
}

package leadership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
)

func entries(roles map[target.ID]target.Role) []*catalog.Target {
	var out []*catalog.Target
	for id, role := range roles {
		out = append(out, &catalog.Target{ID: id, Role: role})
	}
	return out
}

const (
	p = target.RolePrimary
	r = target.RoleReplica
)

// The old primary is cut off from its peers and still claims to lead, in its entry and in its
// status. The claim with the later term wins.
func TestLaterTermWins(t *testing.T) {
	b := NewTracker()
	b.Listed(entries(map[target.ID]target.Role{"a": p, "b": p, "c": r}), nil)
	b.RecordStatus("a", p, 1)
	b.RecordStatus("b", p, 2)
	require.Equal(t, State{Primary: "b", Term: 2, Contested: true}, b.Current())
}

// A new primary's claim arrives before its term is known. The fleet's leadership record decides
// until then.
func TestRecordedPromotionDecidesWhileATermIsUnknown(t *testing.T) {
	b := NewTracker()
	b.Listed(entries(map[target.ID]target.Role{"a": p, "b": r}), nil)
	b.RecordStatus("a", p, 1)
	b.Listed(entries(map[target.ID]target.Role{"a": p, "b": p}), &catalog.LeadershipRecord{Primary: "b"})
	require.Equal(t, target.ID("b"), b.Current().Primary)
}

// A target's own status is more recent than its entry, until the entry changes.
func TestEntryCountsWhenItChanges(t *testing.T) {
	b := NewTracker()
	list := entries(map[target.ID]target.Role{"a": p, "b": r})
	b.Listed(list, nil)
	b.Refused("a")
	b.Listed(list, nil)
	require.Empty(t, b.Current().Primary, "an unchanged entry is no new claim")
	b.Listed(entries(map[target.ID]target.Role{"a": r, "b": p}), nil)
	require.Equal(t, target.ID("b"), b.Current().Primary)
}

func TestRemovedTargetClaimsNothing(t *testing.T) {
	b := NewTracker()
	b.Listed(entries(map[target.ID]target.Role{"a": p}), nil)
	b.RecordStatus("a", p, 4)
	b.Listed(nil, nil)
	require.Equal(t, State{}, b.Current())
	require.EqualValues(t, 4, b.Highest(), "known terms are retained")
}

// A VM receives cached statuses from peers. They may be a second old: from before a replica was
// promoted, whose entry shows the promotion by now, or from before a primary restarted with an
// empty log.
func TestCachedStatusSuppliesTermsAndOverridesNoEntry(t *testing.T) {
	b := NewTracker()
	entries := func(a, z target.Role) []*catalog.Target {
		return []*catalog.Target{{ID: "a", Role: a}, {ID: "z", Role: z}}
	}
	b.Listed(entries(target.RolePrimary, target.RoleReplica), nil)
	b.RecordCachedStatus("z", target.RolePrimary, 3)
	require.Equal(t, State{Primary: "a"}, b.Current(), "the entries are more recent")
	b.RecordCachedStatus("a", target.RoleReplica, 3)
	require.Equal(t, State{Primary: "a"}, b.Current())
	b.RecordCachedStatus("a", target.RolePrimary, 4)
	require.Equal(t, State{Primary: "a", Term: 4}, b.Current())

	b.RecordStatus("z", target.RoleReplica, 4)
	b.RecordCachedStatus("z", target.RolePrimary, 5)
	require.Equal(t, State{Primary: "z", Term: 5, Contested: true}, b.Current(), "promoted since")
	b.Refused("z")
	b.RecordCachedStatus("z", target.RolePrimary, 5)
	require.Equal(t, State{Primary: "a", Term: 4}, b.Current(), "its own reply is more recent")

	b.RecordRestart("a")
	b.Listed(entries(target.RoleReplica, target.RoleReplica), nil)
	b.RecordCachedStatus("a", target.RolePrimary, 4)
	require.Empty(t, b.Current().Primary, "it does not lead any more")
}

package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/target"
)

// A VM replaces a primary and dies before it resumes the other targets. The VM that resumes them
// instead must be certain that no promotion is under way: a replica that is resumed too early
// confirms commits that the next primary lacks.
func TestIsSettledRequiresOneCertainPrimary(t *testing.T) {
	leader := TargetStatus{ID: "b", Role: target.RolePrimary, Term: 2}
	paused := TargetStatus{ID: "c", Role: target.RoleReplica, Term: 1, Paused: 2}
	replica := TargetStatus{ID: "a", Role: target.RoleReplica, Term: 2}
	silent := func(id target.ID) TargetStatus { return TargetStatus{ID: id, Unresponsive: true} }
	for name, x := range map[string]struct {
		leader TargetStatus
		others []TargetStatus
		want   bool
	}{
		"all answer":                            {leader, []TargetStatus{replica, paused}, true},
		"the replaced target is dead":           {leader, []TargetStatus{silent("a"), paused}, true},
		"the dead target may be the chosen one": {leader, []TargetStatus{replica, silent("c")}, false},
		"the primary does not answer":           {silent("b"), []TargetStatus{replica, paused}, false},
		"the primary led when it last answered": {TargetStatus{ID: "b", Role: target.RolePrimary, Term: 2, Unresponsive: true}, []TargetStatus{replica, paused}, false},
		"the primary has stepped down":          {TargetStatus{ID: "b", Role: target.RoleReplica, Term: 2}, []TargetStatus{replica, paused}, false},
		"another target leads":                  {leader, []TargetStatus{{ID: "a", Role: target.RolePrimary, Term: 1}, paused}, false},
		"a later term is known":                 {leader, []TargetStatus{replica, {ID: "c", Role: target.RoleReplica, Term: 3}}, false},
	} {
		require.Equal(t, x.want, IsSettled(x.leader, x.others, "a"), name)
	}
}

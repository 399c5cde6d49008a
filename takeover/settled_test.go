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
	leader := Account{ID: "b", Role: target.RolePrimary, Term: 2}
	paused := Account{ID: "c", Role: target.RoleReplica, Term: 1, Paused: 2}
	replica := Account{ID: "a", Role: target.RoleReplica, Term: 2}
	silent := func(id target.ID) Account { return Account{ID: id, Silent: true} }
	for name, x := range map[string]struct {
		leader Account
		others []Account
		want   bool
	}{
		"all answer":                            {leader, []Account{replica, paused}, true},
		"the replaced target is dead":           {leader, []Account{silent("a"), paused}, true},
		"the dead target may be the chosen one": {leader, []Account{replica, silent("c")}, false},
		"the primary does not answer":           {silent("b"), []Account{replica, paused}, false},
		"the primary has stepped down":          {Account{ID: "b", Role: target.RoleReplica, Term: 2}, []Account{replica, paused}, false},
		"another target leads":                  {leader, []Account{{ID: "a", Role: target.RolePrimary, Term: 1}, paused}, false},
		"a later term is known":                 {leader, []Account{replica, {ID: "c", Role: target.RoleReplica, Term: 3}}, false},
	} {
		require.Equal(t, x.want, Settled(x.leader, x.others, "a"), name)
	}
}

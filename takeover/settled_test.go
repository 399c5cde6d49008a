package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/target"
)

// A VM that has replaced a primary dies before it lets the others receive again.
// Whoever does it in its place must be sure that no promotion is open: a replica
// that is let go too early confirms what the next primary lacks.
func TestWhatIsLeftBehindIsUndoneOnlyUnderOneSurePrimary(t *testing.T) {
	leader := Account{ID: "b", Role: target.RolePrimary, Term: 2}
	paused := Account{ID: "c", Role: target.RoleReplica, Term: 1, Paused: 2}
	replica := Account{ID: "a", Role: target.RoleReplica, Term: 2}
	silent := func(id target.ID) Account { return Account{ID: id, Silent: true} }
	for name, x := range map[string]struct {
		leader Account
		others []Account
		want   bool
	}{
		"all answer":                         {leader, []Account{replica, paused}, true},
		"the replaced one is dead":           {leader, []Account{silent("a"), paused}, true},
		"the chosen one may be the dead one": {leader, []Account{replica, silent("c")}, false},
		"the primary does not answer":        {silent("b"), []Account{replica, paused}, false},
		"the primary leads no longer":        {Account{ID: "b", Role: target.RoleReplica, Term: 2}, []Account{replica, paused}, false},
		"another one leads":                  {leader, []Account{{ID: "a", Role: target.RolePrimary, Term: 1}, paused}, false},
		"a later term is known":              {leader, []Account{replica, {ID: "c", Role: target.RoleReplica, Term: 3}}, false},
	} {
		require.Equal(t, x.want, Settled(x.leader, x.others, "a"), name)
	}
}

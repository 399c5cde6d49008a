package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
)

// Failure guarded against: the tries of one operation, which differ in ids and prepared names, are not
// recognized; or different callers or operations are taken for one.
func TestCallerHash(t *testing.T) {
	uses := true
	e := New(Config{UsesGateways: func(string) bool { return uses }})
	hash := func(key, database, id, text, shape string, begins bool) uint64 {
		w := &work{st: &statement.Statement{ID: id, Text: text}}
		if shape != "" {
			w.prepared, w.st.Arguments = &lane.Prepared{Shape: shape}, "1a4"
		}
		s := &Session{engine: e, key: catalog.KeyDigest(key), database: database}
		return s.callerHash(&groups.Group{Service: "s"}, w, begins)
	}
	first := hash("u", "d", "1", "EXEC s1 1a4", "q2c", false)
	require.NotZero(t, first)
	require.Equal(t, first, hash("u", "d", "2", "EXEC s9 1a4", "q2c", false))
	seen := map[uint64]bool{first: true}
	for _, other := range []uint64{
		hash("v", "d", "1", "EXEC s1 1a4", "q2c", false), hash("u", "e", "1", "EXEC s1 1a4", "q2c", false),
		hash("u", "d", "1", "EXEC s1 1a4", "q2d", false), hash("u", "d", "1", "EXEC s1 1a4", "q2c", true),
		hash("u", "d", "1", "READ 1a4", "", false), hash("u", "d", "1", "READ 1a5", "", false),
	} {
		require.False(t, seen[other])
		seen[other] = true
	}
	uses = false
	require.Zero(t, hash("u", "d", "1", "READ 1a4", "", false), "elsewhere nobody is recognized")
}

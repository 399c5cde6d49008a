package e2e

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/outcome"
)

// rows returns how often each key was charged on a server, asked directly.
func (s *server) rows(t *testing.T) map[string]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://judge@"+s.addr+"/postgres?sslmode=disable")
	require.NoError(t, err)
	defer func() { _ = c.Close(ctx) }()
	list, err := c.Query(ctx, "SELECT key, count(*) FROM charges GROUP BY key")
	require.NoError(t, err)
	out := make(map[string]int)
	for list.Next() {
		var key string
		var n int
		require.NoError(t, list.Scan(&key, &n))
		out[key] = n
	}
	require.NoError(t, list.Err())
	return out
}

// judge compares what callers were told with the group's primary: what was done
// is there, nothing is there twice, and what was only ever "not run" is not.
func (f *fleet) judge(t *testing.T, h *history) {
	t.Helper()
	leader := f.waitLeader(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, wrong := range verdict(h.attempts, leader.rows(t)) {
		t.Errorf("%s: %s; told %v", wrong.key, wrong.what, h.errors[wrong.key])
	}
	require.Empty(t, h.unseen, "sessions that did not see their own purchase")
}

func (f *fleet) waitLeader(t *testing.T) *server {
	t.Helper()
	var leader *server
	eventually(t, "a primary leads", func() bool {
		leader = f.leader(t)
		return leader != nil
	})
	return leader
}

// breach is a key whose rows contradict what its caller was told.
type breach struct{ key, what string }

func verdict(told map[string][]outcome.Outcome, rows map[string]int) []breach {
	var out []breach
	for key, attempts := range told {
		n := rows[key]
		switch {
		case n > 1:
			out = append(out, breach{key, "ran twice"})
		case has(attempts, outcome.Done) && n == 0:
			out = append(out, breach{key, "told done, and lost"})
		case !has(attempts, outcome.Done) && !has(attempts, outcome.Unknown) && n > 0:
			out = append(out, breach{key, "told not run, and ran"})
		}
	}
	return out
}

// The judge itself must see each breach, or its silence proves nothing.
func TestJudgeSeesBreaches(t *testing.T) {
	told := map[string][]outcome.Outcome{
		"lost":    {outcome.Done},
		"twice":   {outcome.Unknown, outcome.Done},
		"ran":     {outcome.NotRun},
		"kept":    {outcome.Done},
		"unknown": {outcome.Unknown},
		"retried": {outcome.NotRun, outcome.Done},
	}
	rows := map[string]int{"twice": 2, "ran": 1, "kept": 1, "unknown": 1, "retried": 1}
	require.ElementsMatch(t, []breach{
		{"lost", "told done, and lost"},
		{"twice", "ran twice"},
		{"ran", "told not run, and ran"},
	}, verdict(told, rows))
}

// sees waits until a session's read is answered, and fails unless it shows the
// key just once. Refusals and lost connections are asked again.
func (f *fleet) sees(t *testing.T, d *daemon, token, kind, key string) {
	t.Helper()
	eventually(t, "a read is answered", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		c, err := d.connect(ctx, token)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close(ctx) }()
		n, err := charged(ctx, c, kind, key)
		if err != nil {
			return false
		}
		require.Equal(t, 1, n, "a session must see its own charge of %s", key)
		return true
	})
}

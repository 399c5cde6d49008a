package e2e

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/outcome"
)

// rows returns how often each key was charged, as read directly from the server.
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

// check compares the outcomes that callers learned with the rows of the group's primary: every
// charge answered "done" must be present, none may be present twice, and one whose attempts were
// all "not run" must be absent.
func (f *fleet) check(t *testing.T, h *history) {
	t.Helper()
	leader := f.waitLeader(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range findViolations(h.attempts, leader.rows(t)) {
		t.Errorf("%s: %s; errors returned to the caller: %v", v.key, v.what, h.errors[v.key])
	}
	require.Empty(t, h.unseen, "sessions that did not see their own purchase")
}

func (f *fleet) waitLeader(t *testing.T) *server {
	t.Helper()
	var leader *server
	eventually(t, "the group has a primary", func() bool {
		leader = f.leader(t)
		return leader != nil
	})
	return leader
}

// violation is a key whose rows contradict the outcomes that its callers learned.
type violation struct{ key, what string }

func findViolations(outcomes map[string][]outcome.Outcome, rows map[string]int) []violation {
	var out []violation
	for key, attempts := range outcomes {
		n := rows[key]
		switch {
		case n > 1:
			out = append(out, violation{key, "ran twice"})
		case has(attempts, outcome.Done) && n == 0:
			out = append(out, violation{key, "answered done, but lost"})
		case !has(attempts, outcome.Done) && !has(attempts, outcome.Unknown) && n > 0:
			out = append(out, violation{key, "answered not run, but ran"})
		}
	}
	return out
}

// The checker must report each kind of violation; otherwise an empty result proves nothing.
func TestCheckerReportsViolations(t *testing.T) {
	outcomes := map[string][]outcome.Outcome{
		"lost":    {outcome.Done},
		"twice":   {outcome.Unknown, outcome.Done},
		"ran":     {outcome.NotRun},
		"present": {outcome.Done},
		"unknown": {outcome.Unknown},
		"retried": {outcome.NotRun, outcome.Done},
	}
	rows := map[string]int{"twice": 2, "ran": 1, "present": 1, "unknown": 1, "retried": 1}
	require.ElementsMatch(t, []violation{
		{"lost", "answered done, but lost"},
		{"twice", "ran twice"},
		{"ran", "answered not run, but ran"},
	}, findViolations(outcomes, rows))
}

// requireVisible retries a session's read until it is answered, and fails the test unless it
// returns the key exactly once. Refusals and lost connections are retried.
func (f *fleet) requireVisible(t *testing.T, d *daemon, token, kind, key string) {
	t.Helper()
	eventually(t, "a read is answered", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		c, err := d.connect(ctx, token)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close(ctx) }()
		n, err := countCharges(ctx, c, kind, key)
		if err != nil {
			return false
		}
		require.Equal(t, 1, n, "a session must see its own charge of %s", key)
		return true
	})
}

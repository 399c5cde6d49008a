package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/outcome"
)

const (
	paramProfile = "endivemoor.profile"
	paramSession = "endivemoor.session"
	// callTimeout bounds a caller's wait. It exceeds every deadline in the profile, so that a
	// running proxy has answered before.
	callTimeout = 15 * time.Second
	// readBackTimeout bounds a read through a daemon that may be paused.
	readBackTimeout = 3 * time.Second
	// retryDelay is how long a caller waits before it retries without a retry-after.
	retryDelay = 50 * time.Millisecond
)

// connect opens a caller's connection to a daemon, with a session token unless it is empty.
func (d *daemon) connect(ctx context.Context, token string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + d.callers + "/" + groupName + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.User, cfg.Password = user, password
	cfg.RuntimeParams[paramProfile] = "passes"
	if token != "" {
		cfg.RuntimeParams[paramSession] = token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func mustConnect(t *testing.T, d *daemon, token string) *pgx.Conn {
	t.Helper()
	c, err := d.connect(t.Context(), token)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func tokenOf(c *pgx.Conn) string { return c.PgConn().ParameterStatus(paramSession) }

// charge makes the purchase with the given key.
func charge(ctx context.Context, c *pgx.Conn, key string) error {
	_, err := c.Exec(ctx, fmt.Sprintf("/*endivemoor kind=purchase&key=%s*/ INSERT INTO charges VALUES ('%s', '12')", key, key),
		pgx.QueryExecModeSimpleProtocol)
	return err
}

// countCharges returns how many charges of a key a read of the given kind returns.
func countCharges(ctx context.Context, c *pgx.Conn, kind, key string) (int, error) {
	var n int
	err := c.QueryRow(ctx, fmt.Sprintf("/*endivemoor kind=%s*/ SELECT count(*) FROM charges WHERE key = '%s'", kind, key),
		pgx.QueryExecModeSimpleProtocol).Scan(&n)
	return n, err
}

// outcomeOf returns the outcome that a caller learned from an attempt. A missing answer, and an
// error that does not state an outcome, leave it unknown.
func outcomeOf(err error) outcome.Outcome {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return outcome.Done
	case !errors.As(err, &pgErr):
		return outcome.Unknown
	case strings.Contains(pgErr.Detail, "outcome="+outcome.NotRun.String()):
		return outcome.NotRun
	case strings.Contains(pgErr.Detail, "outcome="+outcome.Done.String()):
		return outcome.Done
	default:
		return outcome.Unknown
	}
}

// history records the outcomes that all callers of a test learned, by request key.
type history struct {
	mu       sync.Mutex
	attempts map[string][]outcome.Outcome
	errors   map[string][]string
	// unseen lists the keys that their own session did not see on another daemon.
	unseen []string
	// seen counts the keys that their own session saw on another daemon.
	seen int
}

func newHistory() *history {
	return &history{attempts: make(map[string][]outcome.Outcome), errors: make(map[string][]string)}
}

func (h *history) add(key string, err error) outcome.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := outcomeOf(err)
	h.attempts[key] = append(h.attempts[key], o)
	if err != nil {
		h.errors[key] = append(h.errors[key], err.Error())
	}
	return o
}

// done counts the keys for which at least one attempt was answered "done".
func (h *history) done() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, list := range h.attempts {
		if has(list, outcome.Done) {
			n++
		}
	}
	return n
}

// countOutcome counts the attempts with the given outcome.
func (h *history) countOutcome(o outcome.Outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, list := range h.attempts {
		for _, got := range list {
			if got == o {
				n++
			}
		}
	}
	return n
}

func has(list []outcome.Outcome, o outcome.Outcome) bool {
	for _, got := range list {
		if got == o {
			return true
		}
	}
	return false
}

// buyer repeatedly purchases passes, each with its own key, through the daemons in turn, as a
// service behind the platform's load balancer does.
type buyer struct {
	name    string
	fleet   *fleet
	history *history
	// repeat makes the buyer retry an attempt that was not done, with the same key.
	repeat bool
}

// run makes purchases until ctx ends.
func (b *buyer) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", b.name, i)
		for try := 0; ctx.Err() == nil; try++ {
			o, token := b.purchase(b.fleet.daemons[(i+try)%len(b.fleet.daemons)], key)
			if o == outcome.Done && token != "" {
				b.readBack(token, key)
			}
			if o == outcome.Done || !b.repeat {
				break
			}
			time.Sleep(retryDelay)
		}
	}
}

// attempt makes one purchase on its own connection. The end of the test's load does not cancel it.
func (b *buyer) attempt(d *daemon, key string) outcome.Outcome {
	o, _ := b.purchase(d, key)
	return o
}

// purchase makes one attempt and also returns the session's token. If the connection is refused,
// nothing was sent, so the purchase did not run.
func (b *buyer) purchase(d *daemon, key string) (outcome.Outcome, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c, err := d.connect(ctx, "")
	if err != nil {
		return outcome.NotRun, ""
	}
	defer func() { _ = c.Close(ctx) }()
	o := b.history.add(key, charge(ctx, c, key))
	return o, tokenOf(c)
}

// readBack reads the purchase through a random daemon, with the session's token, as a read that may
// be a minute old. A missing answer proves nothing; an answer without the purchase is a violation.
func (b *buyer) readBack(token, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), readBackTimeout)
	defer cancel()
	d := b.fleet.daemons[rand.IntN(len(b.fleet.daemons))]
	c, err := d.connect(ctx, token)
	if err != nil {
		return
	}
	defer func() { _ = c.Close(ctx) }()
	n, err := countCharges(ctx, c, "browse", key)
	if err == nil {
		b.history.recordReadBack(key, n)
	}
}

func (h *history) recordReadBack(key string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n == 0 {
		h.unseen = append(h.unseen, key)
		return
	}
	h.seen++
}

// load runs buyers until the returned function is called, which waits for them to finish.
func (f *fleet) load(t *testing.T, h *history, buyers int, repeat bool) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range buyers {
		b := &buyer{name: fmt.Sprintf("buyer%d", i), fleet: f, history: h, repeat: repeat}
		wg.Go(func() { b.run(ctx) })
	}
	stop = func() {
		cancel()
		wg.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.seen == 0 {
			t.Error("no session read back its own purchase")
		}
	}
	t.Cleanup(stop)
	return stop
}

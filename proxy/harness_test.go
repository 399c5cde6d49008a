package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/admission/limiter"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	passTable = `CREATE TABLE passes (id TEXT PRIMARY KEY, seat INTEGER)`
	waitLimit = 20 * time.Second
	password  = "correct horse"
)

type wallClock struct{ start time.Time }

func (c wallClock) Now() clock.Time { return clock.Time(time.Since(c.start)) + 1 }

// testGate reads the positions of the stand-ins directly, and can be made to refuse.
type testGate struct {
	c      *cluster
	mu     sync.Mutex
	refuse bool
	acked  []timeline.Position
}

var errNoProof = errors.New("no proof")

func (g *testGate) Acknowledge(_ context.Context, _ *view.Group, pos timeline.Position, _ profile.Durability) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse {
		return errNoProof
	}
	g.acked = append(g.acked, pos)
	return nil
}

func (g *testGate) Floor(context.Context, *view.Group) (timeline.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse {
		return timeline.Position{}, errNoProof
	}
	return g.c.primary().Status().Position(), nil
}

func (g *testGate) setRefuse(v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = v
}

// cluster is a group of three stand-ins and the view that the proxies share.
type cluster struct {
	servers []*dbd.Server
	views   *view.Holder
	gate    *testGate
	keys    *session.Keys
	clk     wallClock
}

func testProfile() *profile.Profile {
	kinds := map[string]*profile.Kind{
		"purchase": {Name: "purchase", Worth: 5, Deadline: 8 * time.Second, Key: profile.KeyRequired},
		"note":     {Name: "note", Worth: 1, Deadline: 8 * time.Second},
		"brief":    {Name: "brief", Worth: 1, Deadline: 300 * time.Millisecond},
		"hasty":    {Name: "hasty", Worth: 1, Deadline: 300 * time.Millisecond, Key: profile.KeyRequired},
		"set-seat": {Name: "set-seat", Worth: 1, Deadline: 8 * time.Second, Idempotent: true},
		"balance":  {Name: "balance", Access: profile.Read, Worth: 1, Deadline: 8 * time.Second, MaxAge: time.Minute},
	}
	return &profile.Profile{Name: "app", DrainGrace: waitLimit, MaxQueued: 1000, Kinds: kinds, Default: kinds["note"]}
}

func startCluster(t testing.TB, o dbd.Options) *cluster {
	c := &cluster{views: view.NewHolder(), clk: wallClock{time.Now()}}
	o.Seed = []string{passTable}
	var primary string
	var servers []view.Server
	for i, id := range []target.ID{"a", "b", "c"} {
		o.ID, o.Role, o.Primary = id, dbd.RoleReplica, primary
		if i == 0 {
			o.Role = dbd.RolePrimary
		}
		s, err := dbd.Start(o)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		if i == 0 {
			primary = s.Addr()
		}
		c.servers = append(c.servers, s)
		servers = append(servers, view.Server{ID: id, Addr: s.Addr(), Zone: string(id)})
	}
	c.gate = &testGate{c: c}
	secret := []byte(strings.Repeat("k", session.MinKeyBytes))
	keys, err := session.NewKeys("k1", map[string][]byte{"k1": secret})
	require.NoError(t, err)
	c.keys = keys
	p := testProfile()
	c.views.Update(func(v *view.View) {
		v.Groups = map[string]*view.Group{"ledger": {
			Name: "ledger", Term: 1, Primary: "a", History: timeline.History{{Term: 1}}, Servers: servers,
		}}
		v.Profiles = &profile.Set{Generation: 1, Profiles: map[string]*profile.Profile{"app": p}}
	})
	return c
}

func (c *cluster) primary() *dbd.Server {
	id := c.views.Load().Groups["ledger"].Primary
	i := slices.IndexFunc(c.servers, func(s *dbd.Server) bool { return s.ID() == id })
	return c.servers[i]
}

// rig is one proxy over the cluster.
type rig struct {
	*Server
	c       *cluster
	tracker *countingTracker
	pool    *pool.Pool
	addr    string
	faults  *faultInjector

	mu      sync.Mutex
	records []*filter.Record
}

func (r *rig) Record(rec *filter.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

func (r *rig) last() *filter.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[len(r.records)-1]
}

func startProxy(t testing.TB, c *cluster, change ...func(*Config)) *rig {
	r := &rig{c: c, tracker: &countingTracker{Tracker: routing.NewTracker()}, faults: &faultInjector{}}
	verifier, err := NewVerifier(password, "0123456789abcdef", minIterations)
	require.NoError(t, err)
	creds, err := ParseVerifier(verifier)
	require.NoError(t, err)
	cfg := Config{
		View: c.views, Router: routing.NewRouter(r.tracker.Tracker, routing.EvidencePolicy{}, 1), Tracker: r.tracker, Pool: r.pool,
		Limiter: limiter.New(limiter.Config{Queue: admission.Config{}, Clock: c.clk}),
		Tokens:  c.keys, Users: StaticUsers{"app": creds, "other": creds}, Ack: c.gate, Clock: c.clk,
		Log: zap.NewNop(), Recorder: r, Zone: "a", Seed: 1,
	}
	for _, f := range change {
		f(&cfg)
	}
	r.pool = pool.New(pool.Config{
		Dial: r.dial, Clock: c.clk, Log: zap.NewNop(), Seed: 1, Guards: cfg.Guards,
		Backoff: retry.Backoff{Base: time.Millisecond, Max: 20 * time.Millisecond},
	})
	cfg.Pool = r.pool
	r.Server = New(cfg)
	r.observe()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.addr = ln.Addr().String()
	go func() { _ = r.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		r.pool.Close()
	})
	return r
}

// dial opens a connection that the rig's faultInjector can break.
func (r *rig) dial(ctx context.Context, srv *view.Server) (*pgconn.HijackedConn, error) {
	cfg, err := pgconn.ParseConfig("postgres://proxy@" + srv.Addr + "/ledger?sslmode=disable&application_name=proxy")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		return &faultConn{Conn: conn, faults: r.faults}, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return conn.Hijack()
}

// countingTracker counts the exchanges with targets that have ended.
type countingTracker struct {
	*routing.Tracker
	ends atomic.Int64
}

func (b *countingTracker) End(id target.ID, now clock.Time, latency time.Duration, failed bool) {
	b.Tracker.End(id, now, latency, failed)
	b.ends.Add(1)
}

// observe records in the tracker what probes would have observed.
func (r *rig) observe() {
	for _, s := range r.c.servers {
		queried := r.c.clk.Now()
		st := s.Status()
		if s == r.c.primary() {
			r.tracker.ObservePrimary("ledger", st.Position(), queried)
		}
		r.tracker.Observe(s.ID(), st, queried, r.c.clk.Now())
	}
}

func (r *rig) dsn(extra string) string {
	return fmt.Sprintf("postgres://app:%s@%s/ledger?sslmode=disable&endivemoor.profile=app%s",
		strings.ReplaceAll(password, " ", "%20"), r.addr, extra)
}

func (r *rig) connect(t testing.TB, change ...func(*pgx.ConnConfig)) *pgx.Conn {
	cfg, err := pgx.ParseConfig(r.dsn(""))
	require.NoError(t, err)
	for _, f := range change {
		f(cfg)
	}
	conn, err := pgx.ConnectConfig(context.Background(), cfg)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func withToken(token string) func(*pgx.ConnConfig) {
	return func(c *pgx.ConnConfig) { c.RuntimeParams[paramToken] = token }
}

func simple(c *pgx.ConnConfig) { c.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol }

func token(c *pgx.Conn) string { return c.PgConn().ParameterStatus(paramToken) }

func exec(t testing.TB, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := c.Exec(context.Background(), sql, args...)
	require.NoError(t, err, sql)
}

func queryInt(t testing.TB, c *pgx.Conn, sql string, args ...any) int {
	t.Helper()
	var n int
	require.NoError(t, c.QueryRow(context.Background(), sql, args...).Scan(&n), sql)
	return n
}

func pgError(t testing.TB, err error) *pgconn.PgError {
	t.Helper()
	var e *pgconn.PgError
	require.ErrorAs(t, err, &e)
	return e
}

func (c *cluster) committed(id int) []dbd.Execution {
	var out []dbd.Execution
	for _, e := range c.servers[id].Executions() {
		if e.End == dbd.EndCommitted {
			out = append(out, e)
		}
	}
	return out
}

// promote makes server id the primary of term, fences the servers in fence, and leaves the view of
// the proxies unchanged.
func (c *cluster) promote(t testing.TB, id int, term timeline.Term, fence ...int) view.Group {
	t.Helper()
	for _, i := range append(fence, id) {
		c.control(t, i, fmt.Sprintf("SELECT * FROM endivemoor_fence(%d)", term))
	}
	c.control(t, id, fmt.Sprintf("SELECT * FROM endivemoor_promote(%d)", term))
	st := c.servers[id].Status()
	g := *c.views.Load().Groups["ledger"]
	g.Term, g.Primary = term, c.servers[id].ID()
	g.History = g.History.Append(timeline.Start{Term: term, LSN: st.Start})
	return g
}

func (c *cluster) control(t testing.TB, id int, sql string) {
	t.Helper()
	require.NoError(t, c.runControl(id, sql), sql)
}

func (c *cluster) runControl(id int, sql string) error {
	conn, err := pgx.Connect(context.Background(), "postgres://control@"+c.servers[id].Addr()+"/endivemoor?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(context.Background(), sql)
	return err
}

func (c *cluster) close() {
	for _, s := range c.servers {
		s.Close()
	}
}

func (c *cluster) publish(g view.Group) {
	c.views.Update(func(v *view.View) { v.Groups = map[string]*view.Group{g.Name: &g} })
}

// caughtUp waits until every replica holds what the primary has committed.
func (c *cluster) caughtUp(t testing.TB) {
	t.Helper()
	want := c.primary().Status().LSN
	for _, s := range c.servers {
		require.Eventually(t, func() bool { return s.Status().LSN >= want }, waitLimit, time.Millisecond)
	}
}

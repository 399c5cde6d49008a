package proxy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/target/pgtarget"
	"endivemoor.example/endivemoor/timeline"
)

// operation is what a caller does, as one or several statements.
type operation struct {
	name string
	// keyed operations are asked for again after an unknown outcome.
	keyed      bool
	statements []string
}

const insertCell = "INSERT INTO passes (id, seat) VALUES ('%s', 1)"

var operations = []operation{
	{"write", false, []string{insertCell}},
	{"transaction", false, []string{"BEGIN", insertCell, "COMMIT"}},
	{"keyed write", true, []string{"/*endivemoor kind=purchase&key=%[1]s*/ INSERT INTO passes (id, seat) VALUES ('%[1]s', 1)"}},
	{"keyed transaction", true, []string{"/*endivemoor kind=purchase&key=%s*/ BEGIN", insertCell, "COMMIT"}},
}

// outcomeOf is what a caller concludes from an error, by the code and DETAIL
// alone.
func outcomeOf(err error) string {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return "done"
	case !errors.As(err, &e):
		return "unknown"
	case strings.Contains(e.Detail, "outcome=done"):
		return "done"
	case strings.Contains(e.Detail, "outcome=not-run"):
		return "not-run"
	default:
		return "unknown"
	}
}

func (o operation) run(r *rig, id string) error {
	ctx := context.Background()
	c, err := pgx.Connect(ctx, r.dsn("&default_query_exec_mode=simple_protocol"))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	for _, sql := range o.statements {
		if strings.Contains(sql, "%") {
			sql = fmt.Sprintf(sql, id)
		}
		if _, err := c.Exec(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}

// The connection to the target breaks at every single read and write of every
// operation: the message is lost before it arrives, or the answer after its
// effect. The caller's conclusion is held against the target's own record: what
// is "done" ran once, what is "not run" did not, and a key that is asked for
// again through another proxy has run once in the end.
func TestEveryBreakOfATargetConnection(t *testing.T) {
	cl := startCluster(t, dbd.Options{Connections: 1000})
	tried, struck := 0, 0
	for _, op := range operations {
		for _, out := range []bool{true, false} {
			for at := 1; ; at++ {
				tried++
				id := fmt.Sprintf("cell%d", tried)
				if !strike(t, cl, op, id, at, out) {
					break
				}
				struck++
			}
		}
	}
	t.Logf("cells tried %d, struck %d, not struck %d", tried, struck, tried-struck)
	require.Greater(t, struck, 2*len(operations))
}

// strike runs one cell and reports whether its fault took effect.
func strike(t *testing.T, cl *cluster, op operation, id string, at int, out bool) bool {
	r, again := startProxy(t, cl), startProxy(t, cl)
	defer r.pool.Close()
	defer again.pool.Close()
	return runCell(t, r, again, op, id, at, out)
}

func runCell(t *testing.T, r, again *rig, op operation, id string, at int, out bool) bool {
	exec(t, r.connect(t, simple), "SELECT 1")
	require.Eventually(t, func() bool { return r.pool.Stats("a").Idle == 1 }, waitLimit, time.Millisecond)
	r.trip.armAt(at, out)
	got := outcomeOf(op.run(r, id))
	hit := r.trip.disarm()
	cell := fmt.Sprintf("%s, at %d, out=%v, keep=%v: %s", op.name, at, out, r.trip.keep, got)
	if op.keyed && got != "done" {
		require.Equal(t, "done", outcomeOf(op.run(again, id)), cell)
		got = "done"
	}
	n := queryInt(t, again.connect(t), "SELECT count(*) FROM passes WHERE id = $1", id)
	switch got {
	case "done":
		require.Equal(t, 1, n, cell)
	case "not-run":
		require.Zero(t, n, cell)
	default:
		require.LessOrEqual(t, n, 1, cell)
	}
	return hit
}

// The group promotes another server at every single read and write of every
// operation, with the connection broken or left alive. The old primary was cut
// off from its peers: it still believes that it leads, and answers. What the
// caller was told "done" is at the new primary, once; what is "not run" is not.
func TestPromotionAtEveryStep(t *testing.T) {
	tried, struck := 0, 0
	for _, op := range operations {
		for _, out := range []bool{true, false} {
			for _, keep := range []bool{true, false} {
				for at := 1; promoteAt(t, op, at, out, keep); at++ {
					tried, struck = tried+1, struck+1
				}
				tried++
			}
		}
	}
	t.Logf("cells tried %d, struck %d, not struck %d", tried, struck, tried-struck)
	require.Greater(t, struck, 4*len(operations))
}

func promoteAt(t *testing.T, op operation, at int, out, keep bool) bool {
	cl := startCluster(t, dbd.Options{})
	defer cl.close()
	gate := cl.realGate(t)
	useGate := func(c *Config) { c.Ack = gate }
	r, again := startProxy(t, cl, useGate), startProxy(t, cl, useGate)
	defer r.pool.Close()
	defer again.pool.Close()
	r.trip.keep = keep
	r.trip.also = func() { cl.depose() }
	return runCell(t, r, again, op, "cell", at, out)
}

// realGate is the product's gate over control connections to the stand-ins.
func (c *cluster) realGate(t *testing.T) *controller.Gate {
	dial := func(ctx context.Context, id target.ID, addr string) (target.Database, error) {
		return pgtarget.Dial(ctx, id, "postgres://control@"+addr+"/endivemoor?sslmode=disable")
	}
	links := control.NewLinks(dial, c.clk, control.DefaultTimeout, nil)
	t.Cleanup(links.Close)
	return &controller.Gate{Gate: ack.Standard(), Links: links, Views: c.views, Clock: c.clk}
}

// depose cuts the old primary off from its peers, promotes the replica that
// holds more at term 2, and publishes it.
func (c *cluster) depose() {
	c.servers[0].Faults().Cut(dbd.Peers, dbd.Both)
	best, other := 1, 2
	must(c.order(best, "SELECT * FROM endivemoor_fence(2)"))
	must(c.order(other, "SELECT * FROM endivemoor_fence(2)"))
	if c.servers[best].Status().Position().Less(c.servers[other].Status().Position()) {
		best, other = other, best
	}
	must(c.order(best, "SELECT * FROM endivemoor_promote(2)"))
	follow := fmt.Sprintf("SELECT * FROM endivemoor_follow('%s', 2)", c.servers[best].Addr())
	must(c.order(other, follow))
	g := *c.views.Load().Groups["ledger"]
	g.Term, g.Primary = 2, c.servers[best].ID()
	g.History = g.History.Append(timeline.Start{Term: 2, LSN: c.servers[best].Status().Start})
	c.publish(g)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

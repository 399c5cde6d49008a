package engine

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

type fixedClock struct{ now clock.Time }

func (c *fixedClock) Now() clock.Time { return c.now }

func newTestEngine() (*Engine, *fixedClock) {
	clk, h := &fixedClock{now: clock.Time(time.Hour)}, catalog.NewHolder()
	return New(Config{
		Catalog: h, Clock: clk, Log: zap.NewNop(), UsesGateways: func(string) bool { return true },
		Groups: groups.NewRegistry(groups.Config{Catalog: h, Clock: clk, Log: zap.NewNop()}),
	}), clk
}

// Failure guarded against: all targets of a service are overloaded, and the fleet itself multiplies
// the load by trying each refused read at all of them, and again.
func TestOverloadIsNotMultiplied(t *testing.T) {
	e, clk := newTestEngine()
	s := &Session{engine: e}
	route := &catalog.Route{Service: "s", StatementTimeout: time.Second}
	const requests = 1000
	tries, elsewhere := 0, 0
	for range requests {
		clk.now = clk.now.Add(5 * time.Millisecond)
		w := &work{route: route, costly: true}
		e.cfg.Groups.Group("s").Repeats.Request(clk.now)
		for w.tries < 9 {
			w.tries++
			if !s.mayRepeat(w) {
				break
			}
			if w.tries < triesAtOnce {
				elsewhere++
			}
		}
		tries += w.tries
	}
	require.Less(t, float64(tries)/requests, 1.5)
	require.Greater(t, float64(elsewhere), 0.9*float64(tries-requests), "the budget is spent at targets that were not tried")
	w := &work{route: route, tries: 1}
	require.True(t, s.mayRepeat(w), "a target that could not be reached costs nothing")
}

// Failure guarded against: the store is away while a fleet starts, and all consumers are told to come
// back at the same moment.
func TestCallersOfAStartingFleetAreSpread(t *testing.T) {
	e, _ := newTestEngine()
	perTenth := make(map[int]int)
	const callers = 200
	for range callers {
		_, refusal := e.Open("pay", catalog.KeyDigest(""))
		var after int
		_, err := fmt.Sscanf(refusal.Text, "retry-after-ms=%d come back", &after)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, 500)
		require.LessOrEqual(t, after, 2000)
		perTenth[after/100]++
	}
	for _, n := range perTenth {
		require.LessOrEqual(t, n, callers/7)
	}
}

// Failure guarded against: a caller is told to come back after its own time is over, or a promise
// that it has not run is made without a reason to return.
func TestRefusalSaysWhetherToReturn(t *testing.T) {
	e, clk := newTestEngine()
	s := &Session{engine: e}
	route := &catalog.Route{Service: "s", StatementTimeout: 800 * time.Millisecond}
	early := &work{route: route, arrived: clk.now, cause: groups.NoPrimary}
	require.True(t, strings.HasPrefix(s.giveUp(early, 0, "no primary").Text, "retry-after-ms=7"))
	late := &work{route: route, arrived: clk.now.Add(-700 * time.Millisecond), cause: groups.NoPrimary}
	require.True(t, strings.HasPrefix(s.giveUp(late, 0, "no primary").Text, "no primary"))
}

// timingOut is a Runner at which each statement times out in the queue of a target that answers others,
// or nobody.
type timingOut struct {
	dispatch.Runner
	busy bool
}

func (r timingOut) Run(context.Context, target.ID, dispatch.Claim, *dispatch.Job) (*dispatch.Result, error) {
	return nil, &lane.UnavailableError{Target: "t", Expired: true, Busy: r.busy}
}

// Failures guarded against: the requests of one VM time out in the queue of a busy primary, which serves
// others, and the VM takes it for one that does not respond and refuses all its requests at once; or
// the primary serves nobody, and each request waits for its whole time.
func TestBusyPrimaryIsNoOutage(t *testing.T) {
	for _, busy := range []bool{true, false} {
		e, clk := newTestEngine()
		e.cfg.Runner = timingOut{busy: busy}
		s, g := &Session{engine: e}, e.cfg.Groups.Group("s")
		route := &catalog.Route{Service: "s", StatementTimeout: time.Second}
		refused := 0
		for range 100 {
			clk.now = clk.now.Add(50 * time.Millisecond)
			w := &work{st: &statement.Statement{}, route: route, arrived: clk.now}
			_, result := s.try(context.Background(), "t", w, timeline.Position{}, limits{queue: time.Second})
			s.recordOutage(g, w, result)
			if !s.admits(g, &work{}, groups.Write) {
				refused++
			}
		}
		if busy {
			require.Zero(t, refused)
		} else {
			require.Greater(t, refused, 50)
		}
	}
}

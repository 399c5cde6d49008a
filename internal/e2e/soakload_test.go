package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/lines"
)

// firstSeedUnderLoad is the first seed with a workspace beyond its limit and servers that fail a part
// of their statements. Lower seeds draw the same faults as before.
const firstSeedUnderLoad = 15000

const (
	// vmsUnderLoad is the number of daemons, and of connections that a server accepts, from which
	// each server has two gateways.
	vmsUnderLoad = 9
	// limitsSettle is how long a published limit takes to be in force, with filled buckets.
	limitsSettle = 3 * time.Second
	// calmTime is how long callers are watched before the first fault.
	calmTime = 2 * time.Second
	// hotPause and calmPause are the pauses of callers: those of Hot ask for some times its limit,
	// those of Calm for a fifth.
	hotPause  = 25 * time.Millisecond
	calmPause = 200 * time.Millisecond
	// statementsPerSession is the number of statements after which a caller opens a new session.
	statementsPerSession = 20
)

// hardLoad plays the workspaces Hot and Calm, and keeps what their callers were told has not run.
type hardLoad struct {
	soak    *soak
	stopped atomic.Bool
	wait    sync.WaitGroup

	mu      sync.Mutex
	calm    bool // no fault was injected yet
	refused []refusedRequest
}

type refusedRequest struct {
	id, text string
	at       time.Time
	writes   bool
	// belowLimit is set for a refusal of Calm while nothing is wrong.
	belowLimit bool
}

func (r *refusedRequest) atLimit() bool { return strings.Contains(r.text, "at its limit") }

// startHardLoad starts the callers and returns when they have run for a while without faults.
func startHardLoad(s *soak) *hardLoad {
	h := &hardLoad{soak: s}
	s.command("load", "")
	time.Sleep(limitsSettle)
	for n := range s.vms {
		for _, db := range []string{lines.Renew, lines.Check} {
			h.wait.Go(func() { h.call(lines.Hot, db, n+1, hotPause) })
			h.wait.Go(func() { h.call(lines.Calm, db, n+1, calmPause) })
		}
	}
	time.Sleep(limitsSettle)
	h.setCalm(true)
	time.Sleep(calmTime)
	h.setCalm(false)
	return h
}

func (h *hardLoad) setCalm(calm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm = calm
}

// call sends a workspace's statements to a daemon until the load ends.
func (h *hardLoad) call(workspace, db string, vm int, pause time.Duration) {
	for i := 0; !h.stopped.Load(); i++ {
		h.session(fmt.Sprintf("%s.%s.%d.%d-", workspace, db, vm, i), workspace, db, vm, pause)
		time.Sleep(pause)
	}
}

func (h *hardLoad) session(name, workspace, db string, vm int, pause time.Duration) {
	conn, err := h.soak.dial(vm)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c, a := h.soak.openAs(conn, name, lines.Key(workspace), db)
	for n := 1; c != nil && !a.Lost && a.State == "I" && n <= statementsPerSession && !h.stopped.Load(); n++ {
		text := "READ item-vm1"
		writes := db == lines.Renew && n%2 == 0
		if writes {
			text = fmt.Sprintf("WRITE %s%d %d", workspace, vm, n)
		}
		if a = c.Query(text); !a.Lost && a.Code == "BUSY" {
			h.record(refusedRequest{id: fmt.Sprint(name, n), text: a.Text, at: time.Now(), writes: writes}, workspace)
		}
		time.Sleep(pause)
	}
}

func (h *hardLoad) record(r refusedRequest, workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.belowLimit = h.calm && workspace == lines.Calm && r.atLimit()
	h.refused = append(h.refused, r)
}

// end stops the callers and returns what was refused although it ran, or was below its limit. A write
// that is refused has no effect and does not run later; at a limit, nothing has run at all.
func (h *hardLoad) end() (broken []string) {
	h.stopped.Store(true)
	h.wait.Wait()
	text, err := h.soak.callControl("/runs")
	require.NoError(h.soak.t, err)
	type run struct {
		at     int64
		stored bool
	}
	runs := make(map[string]run)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var id string
		var r run
		_, err := fmt.Sscan(line, &id, &r.at, &r.stored)
		require.NoError(h.soak.t, err, line)
		runs[id] = r
	}
	limited := 0
	for _, r := range h.refused {
		run, ran := runs[r.id]
		if r.atLimit() {
			limited++
		}
		if ran && r.atLimit() || r.writes && (run.stored || run.at > r.at.UnixNano()) {
			broken = append(broken, fmt.Sprintf("%s was refused and ran: %q", r.id, r.text))
		}
		if r.belowLimit {
			broken = append(broken, fmt.Sprintf("%s was refused below its limit: %q", r.id, r.text))
		}
	}
	h.soak.t.Logf("%d refused, %d of them at a limit, %d requests ran", len(h.refused), limited, len(runs))
	require.Positive(h.soak.t, limited, "the workspace beyond its limit")
	return broken
}

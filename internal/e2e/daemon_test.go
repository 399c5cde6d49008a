package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/outcome"
)

// A daemon receives SIGTERM while callers use it. It must complete each accepted request and the
// open transaction, and then exit with status 0.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	f := startFleet(t, 3)
	d := f.daemons[2]
	c := mustConnect(t, d, "")
	exec := func(sql string) error {
		_, err := c.Exec(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	require.NoError(t, exec("/*endivemoor kind=other*/ BEGIN"))
	require.NoError(t, exec("INSERT INTO charges VALUES ('held', '12')"))
	d.signal(t, syscall.SIGTERM)
	eventually(t, "the daemon reports that it is not ready", func() bool {
		res, err := http.Get("http://" + d.admin + "/readyz")
		return err != nil || res.Body.Close() == nil && res.StatusCode != http.StatusOK
	})
	require.NoError(t, exec("INSERT INTO charges VALUES ('held too', '12')"))
	require.NoError(t, exec("COMMIT"))
	<-d.exited
	require.NoError(t, d.err, "the daemon exits by itself, with status 0")
	require.Equal(t, map[string]int{"held": 1, "held too": 1}, f.waitLeader(t).rows(t))
}

// The same purchase, with one key, is sent through all daemons at the same time, repeatedly. It
// must be charged once, and every caller must finally receive "done".
func TestOneKeyThroughAllDaemons(t *testing.T) {
	const keys = 10
	f := startFleet(t, 3)
	h := newHistory()
	b := &buyer{fleet: f, history: h}
	var wg sync.WaitGroup
	for i := range keys {
		for _, d := range f.daemons {
			wg.Go(func() {
				for b.attempt(d, fmt.Sprintf("k%d", i)) != outcome.Done {
					time.Sleep(retryDelay)
				}
			})
		}
	}
	wg.Wait()
	rows := f.waitLeader(t).rows(t)
	require.Len(t, rows, keys)
	f.check(t, h)
}

// Both replicas lag far behind. A session makes a purchase, moves to another daemon with its token,
// and reads with a maximum age of one minute: it must still see its purchase, and so must a session
// that lost its token.
func TestRoamingSessionSeesItsWriteOnLaggingReplicas(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	b := &buyer{fleet: f, history: h}
	require.Equal(t, outcome.Done, b.attempt(f.daemons[0], "warm"))
	for _, s := range f.servers[1:] {
		s.fault(t, "kind", "delay", "delay", "500ms")
	}
	for i := range 5 {
		key := fmt.Sprintf("roam%d", i)
		c := mustConnect(t, f.daemons[i%3], "")
		err := charge(t.Context(), c, key)
		h.add(key, err)
		require.NoError(t, err)
		token := tokenOf(c)
		require.NotEmpty(t, token)
		f.requireVisible(t, f.daemons[(i+1)%3], token, "browse", key)
		f.requireVisible(t, f.daemons[(i+2)%3], "", "balance", key)
	}
	f.check(t, h)
}

// A published change reaches every daemon. Then the store goes down and a daemon restarts: it must
// obtain the newest generation from its peers before it is ready, and must never serve an older
// one.
func TestConfigurationSurvivesRestartDuringOutage(t *testing.T) {
	f := startFleet(t, 3)
	before := f.daemons[0].generation(t)
	f.publish(t, strings.Replace(profiles, "drain-grace = 5s", "drain-grace = 4s", 1))
	inForce := func(d *daemon) bool { return d.generation(t) > before }
	for _, d := range f.daemons {
		eventually(t, "the change is in force", func() bool { return inForce(d) })
	}
	f.storeFaults(t, `{"faults":{"down":true}}`)
	f.daemons[1].kill(t)
	f.startDaemon(t, 1)
	f.waitReady(t, f.daemons[1])
	require.True(t, inForce(f.daemons[1]), "a ready daemon must have the newest generation in force")
	f.storeFaults(t, `{"faults":{}}`)
}

func (d *daemon) generation(t *testing.T) uint64 {
	t.Helper()
	var st struct {
		Generation uint64 `json:"generation"`
	}
	getJSON(t, "http://"+d.admin+"/status", &st)
	return st.Generation
}

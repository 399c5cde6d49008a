package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

// Gap is the command that measures failover: callers buy passes without a pause while faults of the
// primary are injected and repaired. It reports how long no write was acknowledged, and at the end
// checks that each acknowledged write exists exactly once.
type Gap struct {
	Proxies  []string      `help:"callers' addresses of the daemons, ip:port" required:""`
	Admin    string        `help:"admin address of one daemon" required:""`
	Controls []string      `help:"fault controls as server=ip:port" required:""`
	Group    string        `default:"ledger-0"`
	Profile  string        `default:"passes"`
	User     string        `default:"passapp"`
	Password string        `default:"demo-only"`
	Faults   []string      `help:"freeze, cut (from all), cut-peers (replication alone), slow" default:"freeze,cut"`
	Rounds   int           `help:"times that each fault strikes" default:"10"`
	Callers  int           `default:"4"`
	Settle   time.Duration `help:"pause between mending and the next fault" default:"2s"`
}

const (
	statusPollInterval = 20 * time.Millisecond
	repairTimeout      = 30 * time.Second
	requestTimeout     = 15 * time.Second
)

// purchaseStats accumulates the results of all callers.
type purchaseStats struct {
	mu          sync.Mutex
	acked       []string
	lastAck     time.Time
	unknown     int
	notExecuted int
	otherErrors map[string]int
	// longestGap is the longest time between two acknowledgements since reset, and slowestPurchase
	// the duration of the slowest purchase since reset.
	longestGap, slowestPurchase time.Duration
}

func (b *purchaseStats) recordAcknowledged(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.longestGap = max(b.longestGap, now.Sub(b.lastAck))
	b.slowestPurchase = max(b.slowestPurchase, took)
	b.lastAck = now
	b.acked = append(b.acked, id)
}

func (b *purchaseStats) recordFailure(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var pg *pgconn.PgError
	switch {
	case errors.As(err, &pg) && strings.Contains(pg.Detail, "outcome=unknown"):
		b.unknown++
	case errors.As(err, &pg) && strings.Contains(pg.Detail, "outcome=not-run"):
		b.notExecuted++
	default:
		b.otherErrors[err.Error()]++
	}
}

// reset starts a new observation of the gap and of the slowest purchase.
func (b *purchaseStats) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.longestGap, b.slowestPurchase = 0, 0
	b.lastAck = time.Now()
}

// gap returns the longest time without an acknowledgement, including the time since the last one,
// and the duration of the slowest purchase.
func (b *purchaseStats) gap() (none, slowest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.longestGap, time.Since(b.lastAck)), b.slowestPurchase
}

// Run runs all rounds of each fault and prints the results.
func (g *Gap) Run(ctx context.Context, out io.Writer) error {
	controls, err := parseControls(g.Controls)
	if err != nil {
		return err
	}
	b := &purchaseStats{lastAck: time.Now(), otherErrors: map[string]int{}}
	work, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range g.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.buy(work, b, i)
		}()
	}
	time.Sleep(g.Settle)
	fmt.Fprintf(out, "%-10s %6s | %9s %9s %9s | %9s %9s | %s\n", "fault", "rounds",
		"gap p50", "p99", "max", "slow p50", "slow max", "promotions")
	for _, fault := range g.Faults {
		if err := g.runFault(ctx, out, b, controls, fault); err != nil {
			return err
		}
	}
	stop()
	wg.Wait()
	return g.report(ctx, out, b)
}

func parseControls(in []string) (map[string]string, error) {
	out := map[string]string{}
	for _, c := range in {
		id, addr, ok := strings.Cut(c, "=")
		if !ok {
			return nil, errors.Errorf("%q is not server=ip:port", c)
		}
		out[id] = addr
	}
	return out, nil
}

func (g *Gap) runFault(ctx context.Context, out io.Writer, b *purchaseStats, controls map[string]string, fault string) error {
	gaps := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	waits := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	promotions := 0
	for range g.Rounds {
		promoted, err := g.runRound(ctx, b, controls, fault)
		if err != nil {
			return errors.Wrap(err, fault)
		}
		gap, slowest := b.gap()
		_ = gaps.RecordValue(gap.Nanoseconds())
		_ = waits.RecordValue(slowest.Nanoseconds())
		if promoted {
			promotions++
		}
	}
	q := func(h *hdrhistogram.Histogram, p float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(p)).Round(time.Millisecond)
	}
	fmt.Fprintf(out, "%-10s %6d | %9s %9s %9s | %9s %9s | %d\n", fault, g.Rounds,
		q(gaps, 50), q(gaps, 99), q(gaps, 100), q(waits, 50), q(waits, 100), promotions)
	return nil
}

// runRound injects a fault into the current primary, waits for a promotion, repairs the server, and
// waits until it follows the new primary. It reports whether there was a promotion.
func (g *Gap) runRound(ctx context.Context, b *purchaseStats, controls map[string]string, fault string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	before, err := g.group(ctx)
	if err != nil {
		return false, err
	}
	control := controls[before.Primary]
	b.reset()
	if err = applyFault(control, fault); err != nil {
		return false, err
	}
	promoted := g.awaitPromotion(ctx, before.Term)
	time.Sleep(g.Settle / 2)
	if err = repair(control); err != nil {
		return false, err
	}
	if err = g.awaitFollowing(ctx, control); err != nil {
		return false, errors.Wrap(err, describeServers(controls))
	}
	time.Sleep(g.Settle)
	return promoted, nil
}

// awaitPromotion reports whether a promotion to a later term occurs within a third of
// repairTimeout. Some faults cause none.
func (g *Gap) awaitPromotion(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout/3)
	defer cancel()
	for ctx.Err() == nil {
		if now, err := g.group(ctx); err == nil && now.Term > term {
			return true
		}
		time.Sleep(statusPollInterval)
	}
	return false
}

// awaitFollowing waits until the repaired server reports the newest term.
func (g *Gap) awaitFollowing(ctx context.Context, control string) error {
	for {
		group, err := g.group(ctx)
		if err == nil {
			var st struct{ Term uint64 }
			if err = getJSON(ctx, "http://"+control+"/status", &st); err == nil && st.Term == group.Term {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Errorf("repaired server did not reach its group's term before the deadline: %v", err)
		}
		time.Sleep(statusPollInterval)
	}
}

// describeServers returns the status report of every server, for an error message.
func describeServers(controls map[string]string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var out []string
	for id, addr := range controls {
		var st json.RawMessage
		if err := getJSON(ctx, "http://"+addr+"/status", &st); err != nil {
			st = json.RawMessage(err.Error())
		}
		out = append(out, id+" "+string(st))
	}
	return strings.Join(out, "\n")
}

// groupState is the part of a daemon's status that Gap uses.
type groupState struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

func (g *Gap) group(ctx context.Context) (groupState, error) {
	var st struct {
		Groups map[string]groupState `json:"groups"`
	}
	err := getJSON(ctx, "http://"+g.Admin+"/status", &st)
	return st.Groups[g.Group], err
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build HTTP request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// faults are the parameters of the fault control call for each fault.
var faults = map[string]url.Values{
	"freeze":    {"kind": {"freeze"}},
	"cut":       {"kind": {"cut"}, "who": {"*"}, "direction": {"both"}},
	"cut-peers": {"kind": {"cut"}, "who": {"peers"}, "direction": {"both"}},
	"answers":   {"kind": {"cut"}, "who": {"*"}, "direction": {"answers"}},
	"slow":      {"kind": {"slow"}, "factor": {"1000"}},
	"heal":      {"kind": {"heal"}},
	"thaw":      {"kind": {"thaw"}},
	"speed":     {"kind": {"slow"}, "factor": {"1"}},
}

// repair reverts every fault.
func repair(control string) error {
	for _, f := range []string{"thaw", "heal", "speed"} {
		if err := applyFault(control, f); err != nil {
			return err
		}
	}
	return nil
}

func applyFault(control, fault string) error {
	v, ok := faults[fault]
	if !ok {
		return errors.Errorf("unknown fault %q", fault)
	}
	resp, err := http.Post("http://"+control+"/fault?"+v.Encode(), "", nil)
	if err != nil {
		return errors.Wrap(err, "send fault to the control endpoint")
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("fault %s refused: %s", fault, resp.Status)
	}
	return nil
}

// buy sends purchases one after the other, each with its own key. It repeats a failed purchase with
// the same key until it is acknowledged.
func (g *Gap) buy(ctx context.Context, b *purchaseStats, caller int) {
	run := time.Now().UnixNano()
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("gap-%d-%d-%d", run, caller, n)
		begin := time.Now()
		for ctx.Err() == nil {
			err := g.buyOnce(ctx, &conn, id, (caller+n)%len(g.Proxies))
			if err == nil {
				b.recordAcknowledged(id, time.Since(begin))
				break
			}
			if ctx.Err() == nil {
				b.recordFailure(err)
				time.Sleep(statusPollInterval)
			}
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (g *Gap) buyOnce(ctx context.Context, conn **pgx.Conn, id string, proxy int) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if *conn == nil || (*conn).IsClosed() {
		c, err := connect(ctx, g.endpoint(g.Proxies[proxy]))
		if err != nil {
			return err
		}
		*conn = c
	}
	_, err := (*conn).Exec(ctx, "/*endivemoor kind=purchase&key="+id+"*/ "+writeSQL, id)
	return err
}

func (g *Gap) endpoint(addr string) Endpoint {
	return Endpoint{
		Name:   addr,
		URL:    fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", g.User, g.Password, addr, g.Group),
		Params: map[string]string{"endivemoor.profile": g.Profile},
	}
}

// report checks that each acknowledged purchase exists exactly once, and prints the totals.
func (g *Gap) report(ctx context.Context, out io.Writer, b *purchaseStats) error {
	conn, err := connect(ctx, g.endpoint(g.Proxies[0]))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	lost, twice := 0, 0
	for _, id := range b.acked {
		var n string
		err := conn.QueryRow(ctx, "/*endivemoor kind=balance*/ "+readSQL, id).Scan(&n)
		switch {
		case err != nil:
			return errors.Wrap(err, "count rows of purchase "+id)
		case n == "0":
			lost++
		case n != "1":
			twice++
		}
	}
	fmt.Fprintf(out, "acknowledged %d, lost %d, twice %d; answers unknown %d, not run %d\n", len(b.acked), lost, twice, b.unknown, b.notExecuted)
	for text, n := range b.otherErrors {
		fmt.Fprintf(out, "other error x%d: %s\n", n, text)
	}
	if lost+twice > 0 {
		return errors.New("check acknowledged purchases: at least one is missing or stored more than once")
	}
	return nil
}

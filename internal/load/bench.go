package load

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Bench is the command that compares a daemon with the server behind it.
type Bench struct {
	Direct   string        `help:"connection string straight to the primary" required:""`
	Proxy    string        `help:"connection string through a daemon" required:""`
	Profile  string        `default:"passes"`
	Callers  []int         `default:"1,25,1000"`
	Rounds   int           `help:"alternating rounds of each endpoint" default:"4"`
	Each     time.Duration `help:"length of a round" default:"2s"`
	ReadKind string        `help:"kind of the reads" default:"balance"`
}

const (
	readSQL  = "SELECT count(*) FROM passes WHERE id = $1"
	writeSQL = "INSERT INTO passes(id, flight, price) VALUES ($1, 'SK101', '12')"
)

// Run compares both endpoints for each number of callers and prints a table.
func (b *Bench) Run(ctx context.Context, out io.Writer) error {
	endpoints := [2]Endpoint{
		{Name: "direct", URL: b.Direct},
		{Name: "proxy", URL: b.Proxy, Params: map[string]string{"endivemoor.profile": b.Profile}},
	}
	fmt.Fprintf(out, "%-8s %7s | %10s %10s %10s | %10s %10s %10s | %6s %6s %6s | %s\n", "request", "callers",
		"direct p50", "p99", "per s", "proxy p50", "p99", "per s", "p50 x", "p99 x", "rate x", "failed")
	for _, n := range b.Callers {
		if err := b.compare(ctx, out, endpoints, "read", n, b.reads()); err != nil {
			return err
		}
		if err := b.compare(ctx, out, endpoints, "write", n, b.writes(n)); err != nil {
			return err
		}
	}
	return nil
}

// reads returns requests that look up a row that does not exist, so that both endpoints do the same
// work.
func (b *Bench) reads() [2]Request {
	arg := func(caller, _ int) string { return "none-" + strconv.Itoa(caller) }
	return [2]Request{{SQL: readSQL, Arg: arg}, {SQL: "/*endivemoor kind=" + b.ReadKind + "*/ " + readSQL, Arg: arg}}
}

// writes returns requests that insert rows with ids that no other round uses. They have no request
// key, whose cost is measured separately.
func (b *Bench) writes(callers int) [2]Request {
	run := strconv.FormatInt(time.Now().UnixNano(), 36)
	id := func(where string) func(int, int) string {
		return func(caller, n int) string {
			return fmt.Sprintf("%s-%s-%d-%d-%d-%d", run, where, callers, caller, n, time.Now().UnixNano())
		}
	}
	return [2]Request{{SQL: writeSQL, Arg: id("d")}, {SQL: writeSQL, Arg: id("p")}}
}

func (b *Bench) compare(ctx context.Context, out io.Writer, e [2]Endpoint, name string, callers int, reqs [2]Request) error {
	r, err := Compare(ctx, e, reqs, callers, b.Rounds, b.Each)
	if err != nil {
		return err
	}
	d, p := r[0], r[1]
	ratio := func(q float64) float64 { return float64(p.Quantile(q)) / float64(d.Quantile(q)) }
	fmt.Fprintf(out, "%-8s %7d | %10s %10s %10.0f | %10s %10s %10.0f | %6.2f %6.2f %6.2f | %d+%d %s\n", name, callers,
		d.Quantile(50), d.Quantile(99), d.PerSecond(), p.Quantile(50), p.Quantile(99), p.PerSecond(),
		ratio(50), ratio(99), p.PerSecond()/d.PerSecond(), d.Failed, p.Failed, d.FirstError+p.FirstError)
	return nil
}

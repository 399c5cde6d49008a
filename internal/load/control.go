package load

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/internal/wait"
	"github.com/pkg/errors"
)

// The limits of a VM's control cost at the planned size of the fleet.
const (
	cpuLimit    = 4.2  // % of a core
	memoryLimit = 64.0 // MB
	bytesLimit  = 5.0  // KB per second
)

const (
	bytesName = "endivemoor_control_bytes_total"
	cpuName   = "process_cpu_seconds_total"
	rssName   = "process_resident_memory_bytes"
)

// Control is the command that measures the control cost of idle daemons.
type Control struct {
	Admins []string      `required:"" help:"admin addresses of all daemons, ip:port"`
	Groups int           `required:"" help:"number of groups, noted in the result"`
	Settle time.Duration `default:"15s" help:"before the count starts: what a start brought is news for 10 s"`
	For    time.Duration `default:"20s" help:"how long is counted"`
	CSV    string        `help:"file that a line of the result is added to"`
}

// cost is the control cost of one daemon. Its units are those of costOf.
type cost struct {
	cpu, rss, peers, platform, targets float64
}

func (c cost) bytes() float64 { return c.peers + c.platform + c.targets }

// Run measures all daemons, and prints the mean and the maximum of each cost.
func (c *Control) Run(ctx context.Context, out io.Writer) error {
	if !wait.For(ctx, c.Settle) {
		return ctx.Err()
	}
	before, err := metrics(ctx, c.Admins)
	if err != nil {
		return err
	}
	begin := time.Now()
	if !wait.For(ctx, c.For) {
		return ctx.Err()
	}
	after, err := metrics(ctx, c.Admins)
	if err != nil {
		return err
	}
	costs := make([]cost, len(after))
	for i := range after {
		costs[i] = costOf(before[i], after[i], time.Since(begin).Seconds())
	}
	mean := func(part func(cost) float64) float64 { return meanOf(costs, part) }
	most := func(part func(cost) float64) float64 { return part(slices.MaxFunc(costs, compareBy(part))) }
	cpu, rss := func(c cost) float64 { return c.cpu }, func(c cost) float64 { return c.rss }
	fmt.Fprintf(out, "daemons=%d groups=%d cpu %% mean %.2f max %.2f | MB mean %.1f max %.1f | KB/s mean %.2f max %.2f (peers %.2f platform %.2f targets %.2f)\n",
		len(costs), c.Groups, mean(cpu), most(cpu), mean(rss), most(rss), mean(cost.bytes), most(cost.bytes),
		mean(func(c cost) float64 { return c.peers }), mean(func(c cost) float64 { return c.platform }), mean(func(c cost) float64 { return c.targets }))
	return c.appendResult(mean(cpu), mean(rss), mean(cost.bytes))
}

// costOf returns the cost between two scrapes in percent of a core, megabytes, and kilobytes per
// second.
func costOf(before, after families, seconds float64) cost {
	const kilo, mega = 1e3, 1e6
	bytesBefore, bytesAfter := before.by(bytesName, "plane"), after.by(bytesName, "plane")
	rate := func(plane string) float64 { return (bytesAfter[plane] - bytesBefore[plane]) / seconds / kilo }
	return cost{
		cpu:      100 * (after.sum(cpuName) - before.sum(cpuName)) / seconds,
		rss:      after.sum(rssName) / mega,
		peers:    rate("peers"),
		platform: rate("platform"),
		targets:  rate("targets"),
	}
}

func meanOf(costs []cost, part func(cost) float64) float64 {
	values := make([]float64, len(costs))
	for i, c := range costs {
		values[i] = part(c)
	}
	return mean(values)
}

func compareBy(part func(cost) float64) func(a, b cost) int {
	return func(a, b cost) int {
		if part(a) < part(b) {
			return -1
		}
		return 1
	}
}

func (c *Control) appendResult(values ...float64) error {
	if c.CSV == "" {
		return nil
	}
	file, err := os.OpenFile(c.CSV, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open CSV file of results")
	}
	defer file.Close()
	row := []string{strconv.Itoa(len(c.Admins)), strconv.Itoa(c.Groups)}
	for _, v := range values {
		row = append(row, strconv.FormatFloat(v, 'f', 4, 64))
	}
	w := csv.NewWriter(file)
	if err = w.Write(row); err != nil {
		return err
	}
	w.Flush()
	return w.Error()
}

// Slopes is the command that fits lines to the results that Control appended to a CSV file.
type Slopes struct {
	CSV string `arg:"" type:"existingfile" help:"file that control --csv wrote"`
	At  int    `default:"3" help:"groups at which the slope by daemons is taken"`
	Of  int    `default:"9" help:"daemons at which the slope by groups is taken"`
}

// Run prints a least-squares line of each cost by daemons and by groups, with the root mean square
// of its residuals.
func (s *Slopes) Run(_ context.Context, out io.Writer) error {
	file, err := os.Open(s.CSV)
	if err != nil {
		return err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return errors.Wrap(err, s.CSV)
	}
	names := []string{"% of a core", "MB", "KB/s"}
	limits := []float64{cpuLimit, memoryLimit, bytesLimit}
	for i, name := range names {
		s.fit(out, rows, "daemon", 0, 1, s.At, i+2, name, limits[i])
		s.fit(out, rows, "group", 1, 0, s.Of, i+2, name, limits[i])
	}
	return nil
}

// fit selects the rows with the value at in column fixed, and fits column y to column x.
func (s *Slopes) fit(out io.Writer, rows [][]string, by string, x, fixed, at, y int, name string, limit float64) {
	var xs, ys []float64
	for _, row := range rows {
		if row[fixed] == strconv.Itoa(at) {
			xs, ys = append(xs, number(row[x])), append(ys, number(row[y]))
		}
	}
	if len(xs) < 2 {
		return
	}
	l := fitLine(xs, ys)
	fmt.Fprintf(out, "%-11s = %8.3f %+9.4f a %-6s (%d points, residual %.3f; limit %.1f)\n",
		name, l.base, l.slope, by, len(xs), l.residual, limit)
}

func number(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

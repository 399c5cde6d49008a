package capacity

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/internal/experiment/report"
)

// Daemon is a running daemon that is measured from outside.
type Daemon struct {
	// PID is its process, read through /proc.
	PID int
	// URL is a caller's connection string, with the profile in it.
	URL string
	// Statement is run for the processor time of a statement.
	Statement string
}

const (
	// tick is the unit of processor time in /proc, a hundredth of a second.
	tick = 10 * time.Millisecond
	// idleFor is how long the daemon's own work is watched.
	idleFor = 10 * time.Second
	// workers run the statements.
	workers = 16
)

var (
	connections = []int{0, 250, 500, 1000, 2000}
	statements  = []int{2000, 4000, 8000, 16000}
)

// RunDaemon measures a real daemon: memory by idle connections, processor time
// by statements, and the processor time of its control when idle.
func RunDaemon(out io.Writer, d Daemon) error {
	table := report.Table{
		Title:  "Slopes of a daemon",
		Header: []string{"role", "what", "sizes", "measured", "fit", "worst residual", "at the planned size"},
	}
	idle, err := d.idle()
	if err != nil {
		return err
	}
	memory, err := d.memory()
	if err != nil {
		return err
	}
	m := measure{role: "caller side", what: "resident memory", unit: "B", per: "connection", planned: callersPerNode}
	m.add(&table, memory)
	work, err := d.work()
	if err != nil {
		return err
	}
	m = measure{role: "caller side and pool", what: "processor time", unit: "ns", per: "statement", planned: statementsPerNode}
	m.add(&table, work)
	table.Add("control", "processor time of an idle daemon", "1", report.Percent(idle)+" of a core", "", "", "")
	return table.Print(out)
}

// idle is the share of a core that the daemon uses without callers.
func (d Daemon) idle() (float64, error) {
	before, err := d.processorTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(idleFor)
	after, err := d.processorTime()
	return float64(after-before) / float64(idleFor), err
}

// memory is the resident size by the number of idle connections.
func (d Daemon) memory() ([]Point, error) {
	var open []*pgconn.PgConn
	defer func() { closeAll(open) }()
	var points []Point
	for _, n := range connections {
		for len(open) < n {
			c, err := pgconn.Connect(context.Background(), d.URL)
			if err != nil {
				return nil, errors.Wrapf(err, "connection %d", len(open)+1)
			}
			open = append(open, c)
		}
		size, err := d.resident()
		if err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(n), Value: size})
	}
	return points, nil
}

func closeAll(open []*pgconn.PgConn) {
	for _, c := range open {
		_ = c.Close(context.Background())
	}
}

// work is the processor time by the number of statements.
func (d Daemon) work() ([]Point, error) {
	var points []Point
	for _, n := range statements {
		before, err := d.processorTime()
		if err != nil {
			return nil, err
		}
		if err := d.statements(n); err != nil {
			return nil, err
		}
		after, err := d.processorTime()
		if err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(n), Value: float64(after - before)})
	}
	return points, nil
}

func (d Daemon) statements(n int) error {
	var group errgroup.Group
	for range workers {
		group.Go(func() error {
			c, err := pgconn.Connect(context.Background(), d.URL)
			if err != nil {
				return errors.Wrap(err, "connect")
			}
			defer func() { _ = c.Close(context.Background()) }()
			for range n / workers {
				if _, err := c.Exec(context.Background(), d.Statement).ReadAll(); err != nil {
					return errors.Wrap(err, "statement")
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// resident is the process's resident memory in bytes.
func (d Daemon) resident() (float64, error) {
	fields, err := d.proc("statm")
	if err != nil || len(fields) < 2 {
		return 0, err
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages * os.Getpagesize()), errors.Wrap(err, "resident pages")
}

// processorTime is the process's user and system time.
func (d Daemon) processorTime() (time.Duration, error) {
	fields, err := d.proc("stat")
	if err != nil {
		return 0, err
	}
	const user, system = 13, 14
	if len(fields) <= system {
		return 0, errors.New("short /proc stat")
	}
	sum := 0
	for _, f := range fields[user : system+1] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		sum += n
	}
	return time.Duration(sum) * tick, nil
}

func (d Daemon) proc(name string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(d.PID), name))
	return strings.Fields(string(text)), errors.Wrap(err, "read the process's figures")
}

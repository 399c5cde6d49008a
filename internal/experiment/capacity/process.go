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

// Daemon is a running daemon that is measured from outside its process.
type Daemon struct {
	// PID is its process, whose figures are read from /proc.
	PID int
	// URL is a caller's connection string, which names the profile.
	URL string
	// Statement is the statement whose processor time is measured.
	Statement string
}

const (
	// tick is the unit of processor time in /proc, a hundredth of a second.
	tick = 10 * time.Millisecond
	// idleDuration is how long the processor time of the idle daemon is measured.
	idleDuration = 10 * time.Second
	// workers is the number of connections that run the statements concurrently.
	workers = 16
)

var (
	connections = []int{0, 250, 500, 1000, 2000}
	statements  = []int{2000, 4000, 8000, 16000}
)

// RunDaemon measures a running daemon and prints memory by idle connections, processor time by
// statements, and the processor time of its control tasks when idle.
func RunDaemon(out io.Writer, d Daemon) error {
	table := report.Table{
		Title:  "Slopes of a daemon",
		Header: []string{"role", "what", "sizes", "measured", "fit", "worst residual", "at the planned size"},
	}
	idle, err := d.idleShare()
	if err != nil {
		return err
	}
	memory, err := d.memory()
	if err != nil {
		return err
	}
	m := measure{role: "caller side", what: "resident memory", unit: "B", per: "connection", planned: callersPerNode}
	m.add(&table, memory)
	work, err := d.statementTimes()
	if err != nil {
		return err
	}
	m = measure{role: "caller side and pool", what: "processor time", unit: "ns", per: "statement", planned: statementsPerNode}
	m.add(&table, work)
	table.Add("control", "processor time of an idle daemon", "1", report.Percent(idle)+" of a core", "", "", "")
	return table.Print(out)
}

// idleShare returns the share of a core that the daemon uses without callers.
func (d Daemon) idleShare() (float64, error) {
	before, err := d.processorTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(idleDuration)
	after, err := d.processorTime()
	return float64(after-before) / float64(idleDuration), err
}

// memory returns the resident size by the number of idle connections.
func (d Daemon) memory() ([]Point, error) {
	var open []*pgconn.PgConn
	defer func() { closeAll(open) }()
	var points []Point
	for _, n := range connections {
		for len(open) < n {
			c, err := pgconn.Connect(context.Background(), d.URL)
			if err != nil {
				return nil, errors.Wrapf(err, "open idle connection %d", len(open)+1)
			}
			open = append(open, c)
		}
		size, err := d.residentBytes()
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

// statementTimes returns the processor time by the number of statements.
func (d Daemon) statementTimes() ([]Point, error) {
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
				return errors.Wrap(err, "connect to the daemon")
			}
			defer func() { _ = c.Close(context.Background()) }()
			for range n / workers {
				if _, err := c.Exec(context.Background(), d.Statement).ReadAll(); err != nil {
					return errors.Wrap(err, "run measured statement")
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// residentBytes returns the process's resident memory in bytes.
func (d Daemon) residentBytes() (float64, error) {
	fields, err := d.proc("statm")
	if err != nil {
		return 0, err
	}
	return residentOf(fields)
}

// residentOf returns the resident memory in bytes from the fields of /proc/<pid>/statm.
func residentOf(fields []string) (float64, error) {
	if len(fields) < 2 {
		return 0, errors.Errorf("read resident pages in /proc/<pid>/statm: %d fields, need 2", len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages * os.Getpagesize()), errors.Wrap(err, "parse resident pages in /proc/<pid>/statm")
}

// processorTime returns the sum of the process's user and system time.
func (d Daemon) processorTime() (time.Duration, error) {
	fields, err := d.proc("stat")
	if err != nil {
		return 0, err
	}
	const user, system = 13, 14
	if len(fields) <= system {
		return 0, errors.New("read processor time of the daemon: /proc/<pid>/stat has fewer than 15 fields")
	}
	sum := 0
	for _, f := range fields[user : system+1] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrap(err, "parse processor time in /proc/<pid>/stat")
		}
		sum += n
	}
	return time.Duration(sum) * tick, nil
}

func (d Daemon) proc(name string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(d.PID), name))
	return strings.Fields(string(text)), errors.Wrap(err, "read the daemon's files in /proc")
}

package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/platform/standin/traffic"
)

// scenarioDir holds the scenario files and a README.
const scenarioDir = "testdata/fleet"

// TestStories runs the scenario files, each with whole daemons in virtual time. Their language is
// described in testdata/fleet/README.md.
func TestStories(t *testing.T) {
	datadriven.Walk(t, scenarioDir, func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".md") {
			t.Skip("README of the scenario language")
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			require.Equal(t, "fleet", d.Cmd)
			vms, connections := 3, 0
			d.MaybeScanArgs(t, "vms", &vms)
			d.MaybeScanArgs(t, "connections", &connections)
			var out strings.Builder
			runFleetWith(t, vms, database.Options{MaxConnections: connections}, func(f *fleet) {
				newScenarioRunner(f, &out).run(strings.Split(d.Input, "\n"))
			})
			return out.String()
		})
	})
}

// scenarioRunner runs one scenario.
type scenarioRunner struct {
	f        *fleet
	out      *strings.Builder
	sessions map[string]*consumer.Session
	traffic  *traffic.Traffic
}

func newScenarioRunner(f *fleet, out *strings.Builder) *scenarioRunner {
	return &scenarioRunner{f: f, out: out, sessions: make(map[string]*consumer.Session)}
}

func (s *scenarioRunner) run(lines []string) {
	for _, line := range lines {
		s.execute(line)
	}
}

func (s *scenarioRunner) execute(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "wait":
		time.Sleep(parseDuration(rest))
	case "session":
		w := strings.Fields(rest)
		s.sessions[w[0]] = s.f.session(w[1], w[2])
	case "ask":
		name, text, _ := strings.Cut(rest, " ")
		s.printf("%s %s: %s\n", name, text, brief(s.sessions[name].Query(text)))
	case "traffic":
		s.traffic = s.f.traffic()
	case "judge":
		s.reportResult()
	case "primary":
		s.printf("primary %s\n", s.f.group.Leader())
	case "promotions":
		s.printf("promotions %d\n", len(s.f.world.Store.DesignationCalls()))
	default:
		s.f.execute(line)
	}
}

func (s *scenarioRunner) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// reportResult prints the broken promises, and whether writes succeeded.
func (s *scenarioRunner) reportResult() {
	broken, sales, gap := s.traffic.End()
	s.f.checkInvariants()
	for _, b := range broken {
		s.printf("%s\n", b)
	}
	if len(broken) == 0 {
		s.printf("all hold\n")
	}
	s.printf("sales go on: %t, longest pause below %s\n", sales > 0, bucket(gap))
}

// bucket rounds a pause up, so that the output does not depend on the order in which goroutines
// run. The first bucket covers one change of primary after a crash: it takes 415 ms here, and the
// writes before and after it 65 ms each, because the last one before may have been lost with the
// primary; consumers pause for 25 ms.
func bucket(d time.Duration) time.Duration {
	for _, b := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		if d < b {
			return b
		}
	}
	return time.Hour
}

func brief(a consumer.Answer) string {
	switch {
	case a.Lost:
		return "no answer"
	case a.Code != "":
		return a.Code
	case len(a.Rows) > 0:
		return strings.Join(a.Rows, ",")
	default:
		return "done"
	}
}

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

// stories are the files of testdata/fleet but for their page.
const stories = "testdata/fleet"

// TestStories plays the stories, each with whole daemons in virtual time. The
// language is in testdata/fleet/README.md.
func TestStories(t *testing.T) {
	datadriven.Walk(t, stories, func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".md") {
			t.Skip("the page of the language")
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			require.Equal(t, "fleet", d.Cmd)
			vms, connections := 3, 0
			d.MaybeScanArgs(t, "vms", &vms)
			d.MaybeScanArgs(t, "connections", &connections)
			var out strings.Builder
			playOn(t, vms, database.Options{MaxConnections: connections}, func(f *fleet) {
				newStory(f, &out).play(strings.Split(d.Input, "\n"))
			})
			return out.String()
		})
	})
}

// story is one that is being played.
type story struct {
	f        *fleet
	out      *strings.Builder
	sessions map[string]*consumer.Session
	traffic  *traffic.Traffic
}

func newStory(f *fleet, out *strings.Builder) *story {
	return &story{f: f, out: out, sessions: make(map[string]*consumer.Session)}
}

func (s *story) play(lines []string) {
	for _, line := range lines {
		s.line(line)
	}
}

func (s *story) line(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "wait":
		time.Sleep(length(rest))
	case "session":
		w := strings.Fields(rest)
		s.sessions[w[0]] = s.f.session(w[1], w[2])
	case "ask":
		name, text, _ := strings.Cut(rest, " ")
		s.printf("%s %s: %s\n", name, text, brief(s.sessions[name].Query(text)))
	case "traffic":
		s.traffic = s.f.traffic()
	case "judge":
		s.judge()
	case "primary":
		s.printf("primary %s\n", s.f.group.Leader())
	case "promotions":
		s.printf("promotions %d\n", len(s.f.world.Store.Duties()))
	default:
		s.f.do(line)
	}
}

func (s *story) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// judge prints what was broken, and that sales went on.
func (s *story) judge() {
	broken, sales, gap := s.traffic.End()
	s.f.fair()
	for _, b := range broken {
		s.printf("%s\n", b)
	}
	if len(broken) == 0 {
		s.printf("all hold\n")
	}
	s.printf("sales go on: %t, longest pause below %s\n", sales > 0, bucket(gap))
}

// bucket rounds a pause up, so that the order in which goroutines run does not
// show. The first is for one change of primary after a crash: it takes 415 ms
// here, and the writes before and after it 65 ms each, as the last one before may
// have been lost with the primary; callers pause for 25 ms.
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

package scenario

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScenarios runs the scripts under testdata. Each "run" block continues in the world of the
// file; "new seed=N" starts another world. To repeat one file:
//
//	go test ./scenario -run TestScenarios/<file>
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".md") {
			return
		}
		w := Standard(1, nil)
		seed := uint64(1)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				d.MaybeScanArgs(t, "seed", &seed)
				w = Standard(seed, nil)
				return ""
			case "run":
				w.TakeTrace()
				runLines(t, w, d.Input)
				return w.TakeTrace()
			case "judge":
				runLines(t, w, "settle")
				return describeFindings(w.Check())
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
	})
}

func runLines(t *testing.T, w *World, text string) {
	t.Helper()
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" {
			require.NoError(t, w.Run(line), line)
		}
	}
}

func describeFindings(found []Finding) string {
	if len(found) == 0 {
		return "all hold\n"
	}
	return fmt.Sprintln(found)
}

func TestSameSeedSameTrace(t *testing.T) {
	run := func() string {
		w := Standard(7, nil)
		runLines(t, w, `
			write s1 purchase row=r1 key=k1 at a
			kill s1
			write s1 purchase row=r1 key=k2 at b
			advance 3s
			read s1 row=r1 at c`)
		return w.TakeTrace()
	}
	require.Equal(t, run(), run())
}

package decisions

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/logging"
)

func TestCountsOfAllVMsAreSummed(t *testing.T) {
	sum := NewSum()
	for vm := range 3 {
		r := NewRecorder(prometheus.NewRegistry())
		r.Count(Queue, "i-1", "refused", vm+1)
		r.Count(Queue, "i-1", "served", 10)
		r.Count(Limit, "north", "refused", 1)
		var out bytes.Buffer
		r.Report(logging.New(&out, zap.NewAtomicLevel()).With(zap.String("vm", fmt.Sprint("vm", vm))))
		require.NoError(t, sum.Read(&out))
	}
	require.Equal(t, []Row{
		{By: Limit, Subject: "north", Outcome: "refused", Count: 3, VMs: 3, Most: 1, MostAt: "vm0"},
		{By: Queue, Subject: "i-1", Outcome: "served", Count: 30, VMs: 3, Most: 10, MostAt: "vm0"},
		{By: Queue, Subject: "i-1", Outcome: "refused", Count: 6, VMs: 3, Most: 3, MostAt: "vm2"},
	}, sum.Rows())
}

// Failure guarded against: a VM that decides about a thousand targets writes a thousand lines a
// second.
func TestLinesOfAReportAreBounded(t *testing.T) {
	r := NewRecorder(prometheus.NewRegistry())
	for n := range 1000 {
		r.Count(Queue, fmt.Sprint("i-", n), "refused", 1)
	}
	var out bytes.Buffer
	r.Report(logging.New(&out, zap.NewAtomicLevel()))
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), maxSubjects+1)
	sum := NewSum()
	require.NoError(t, sum.Read(&out))
	total := 0
	for _, row := range sum.Rows() {
		total += row.Count
	}
	require.Equal(t, 1000, total)
}

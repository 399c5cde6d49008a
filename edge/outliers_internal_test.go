package edge

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/platform/boot"
)

func outlierEdge() *Edge {
	e := &Edge{settings: &boot.Settings{Node: "a"}, catalog: catalog.NewHolder(), clk: &manualClock{now: 1}, metrics: prometheus.NewRegistry()}
	e.catalog.SetFleet([]catalog.VM{{ID: "a"}, {ID: "b"}}, nil, 1)
	e.loadReports, e.outliers = newLoadReports(e), newOutliers(e)
	return e
}

// Failure guarded against: one peer reports a target under the names of several, which agree.
func TestFailuresCountOfReportersOnTheList(t *testing.T) {
	e := outlierEdge()
	var all []loadreport.Report
	for _, name := range []string{"b", "made-up", "another"} {
		all = append(all, loadreport.Report{Target: "x", Reporter: name, At: 1, Errored: .5, Statements: loadreport.MaxStatements})
	}
	e.loadReports.apply(all)
	got := e.loadReports.book.Failing("x", 0, clock.Time(1))
	require.Len(t, got, 1)
	require.Equal(t, "b", got[0].Reporter)
}

// Failure guarded against: trouble of one service's target costs the reads of all services the fast path.
func TestOnlyTheServiceInTroubleIsSuspected(t *testing.T) {
	e := outlierEdge()
	e.outliers.detector.Record(1, "x", 0, outlier.Lost, true)
	require.True(t, e.outliers.suspects("x", 1))
	require.False(t, e.outliers.suspects("y", 1))
	e.outliers.reset()
	require.False(t, e.outliers.suspects("x", 1))
}

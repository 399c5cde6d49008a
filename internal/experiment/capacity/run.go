package capacity

import (
	"fmt"
	"io"

	"endivemoor.example/endivemoor/internal/experiment/report"
)

// The size that the users plan for, for each node.
const (
	nodes = 2900
	// callersPerNode and statementsPerNode divide 6.2 million connections and 1.2 million
	// statements a second over all nodes.
	callersPerNode    = 6_200_000.0 / nodes
	statementsPerNode = 1_200_000.0 / nodes
	// groupsPerNode is the number of groups that a node probes: five nodes probe each group, and
	// there are as many groups as nodes.
	groupsPerNode = 5
)

// measure describes the measurement of one function of the core at several sizes.
type measure struct {
	role, what, unit, per string
	sizes                 []int
	at                    func(n int) float64
	// planned is the size on one node of the planned fleet.
	planned float64
}

var groupSizes = []int{1, 3, 10, 100, 1000, 2900}

func measures() []measure {
	return append(edgeMeasures(), []measure{
		{"caller side", "decision on a read", "ns", "group in the view", groupSizes, routeTime, groupsPerNode},
		{"caller side", "session token, issue and check", "ns", "group in the token", []int{1, 2, 4, 8, 16}, tokenTime, 1},
		{"pool", "slot taken and given back", "ns", "kind waiting", []int{1, 4, 16, 64}, queueTime, 4},
		{"prober", "evidence of a round of probes", "ns", "group", groupSizes, probeTime, groupsPerNode},
		{"prober", "evidence, memory", "B", "group", groupSizes, trackerBytes, groupsPerNode},
		{"group owner", "one second of the machine", "ns", "group", []int{1, 4, 16, 64, 256}, ownerTime, groupsPerNode},
		{"group owner", "machine, memory", "B", "group", []int{1, 16, 64, 256, 1024}, ownerBytes, groupsPerNode},
		{"configuration", "text checked and taken", "ns", "profile", []int{1, 10, 50, 100, 200}, parseTime, 100},
		{"configuration", "text and set, memory", "B", "profile", []int{10, 50, 100, 200}, profileBytes, 100},
		{"membership", "one round", "ns", "VM", []int{9, 30, 100, 300, 1000, 2900}, memberTime, nodes},
		{"membership", "state, memory", "B", "VM", []int{30, 100, 300, 1000, 2900}, memberBytes, nodes},
		{"ownership", "assignment over 2,900 VMs after a change", "ns", "group", []int{30, 100, 300, 1000, 2900}, assignTime, nodes},
		{"audit writer", "entry made", "ns", "earlier entry", []int{1, 100, 1000, 10000}, auditTime, 6500},
		{"audit writer", "trail, stored", "B", "entry", []int{1, 100, 1000, 10000}, auditBytes, 6500},
	}...)
}

// Run runs all measures and prints the slopes.
func Run(out io.Writer) error {
	table := report.Table{
		Title: "Slopes",
		Header: []string{"role", "what", "sizes", "measured", "fit", "worst residual",
			"at the planned size"},
	}
	for _, m := range measures() {
		m.add(&table, sweep(m.sizes, m.at))
	}
	if err := table.Print(out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nA node of the planned fleet: %.0f connections, %.0f statements a second.\n",
		callersPerNode, statementsPerNode)
	return err
}

func (m *measure) add(table *report.Table, points []Point) {
	line := Fit(points)
	table.Add(m.role, m.what, sizesOf(points), valuesOf(points, m.unit),
		fmt.Sprintf("%s + %s a %s", formatSI(line.Base, m.unit), formatSI(line.Slope, m.unit), m.per),
		report.Percent(line.Residual),
		fmt.Sprintf("%s (%.4g)", formatSI(line.At(m.planned), m.unit), m.planned))
}

func sizesOf(points []Point) string {
	s := ""
	for i, p := range points {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprintf("%.0f", p.Size)
	}
	return s
}

func valuesOf(points []Point, unit string) string {
	s := ""
	for i, p := range points {
		if i > 0 {
			s += ", "
		}
		s += formatSI(p.Value, unit)
	}
	return s
}

// formatSI formats nanoseconds or bytes with an SI prefix.
func formatSI(v float64, unit string) string {
	steps := []string{"B", "kB", "MB", "GB"}
	if unit == "ns" {
		steps = []string{"ns", "µs", "ms", "s"}
	}
	i := 0
	for (v >= 1000 || v <= -1000) && i < len(steps)-1 {
		v /= 1000
		i++
	}
	return fmt.Sprintf("%.3g %s", v, steps[i])
}

package edge

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/relay"
	"endivemoor.example/endivemoor/target"
)

// loadReports passes the reports of targets on between the VMs of a fleet that uses gateways.
type loadReports struct {
	edge     *Edge
	book     *loadreport.Book
	received prometheus.Counter
}

func newLoadReports(e *Edge) *loadReports {
	l := &loadReports{edge: e, book: loadreport.NewBook(), received: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivemoor_load_reports_pulled_total", Help: "Reports of targets under load, received with pulls."})}
	e.metrics.MustRegister(l.received)
	return l
}

// used returns the reports that this VM places reads by; nil if it uses none.
func (l *loadReports) used() *loadreport.Book {
	if l.edge.features.Without(feature.LoadReports) {
		return nil
	}
	return l.book
}

// share returns what this VM knows of the targets of the services, or of all if services is nil:
// what it observes at its own lanes, and what others have reported.
func (l *loadReports) share(now clock.Time, services []string) []loadreport.Report {
	if l.edge.features.Without(feature.LoadReports) {
		return nil
	}
	c := l.edge.catalog.Load()
	selected := func(id target.ID) bool {
		t := c.Targets[id]
		return t != nil && (services == nil || slices.Contains(services, t.Service))
	}
	loads := l.edge.pool.QueuedLoads()
	for _, id := range l.edge.outliers.failures.Failing(now) {
		loads[id] = l.edge.pool.Load(id)
	}
	for id, load := range loads {
		if !selected(id) {
			continue
		}
		r := relay.Observed(id, load, l.edge.outliers.failures.Fraction(now, id))
		r.Reporter, r.Incarnation, r.At = l.edge.settings.Node, c.Targets[id].Incarnation, now
		l.book.Record(r)
	}
	return l.book.Share(now, selected)
}

// apply keeps the reports of others. Failures count if their reporter is on the fleet's list: names
// that a peer makes up would agree with each other.
func (l *loadReports) apply(all []loadreport.Report) {
	if len(all) == 0 {
		return
	}
	c := l.edge.catalog.Load()
	for _, r := range all {
		if _, known := c.VM(r.Reporter); !known {
			r.Errored, r.Statements = 0, 0
		}
		if r.Reporter != l.edge.settings.Node {
			l.book.Record(r)
			l.received.Inc()
		}
	}
}

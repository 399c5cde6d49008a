package edge

import (
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/target"
)

// outliers detects the targets that fail a part of their statements, in a fleet that uses gateways.
type outliers struct {
	edge     *Edge
	failures outlier.Counter
	detector *outlier.Detector
}

func newOutliers(e *Edge) *outliers {
	return &outliers{edge: e, detector: outlier.NewDetector()}
}

// record records how a statement of this VM ended.
func (o *outliers) record(service string, id target.ID, out outlier.Outcome, read, local bool) {
	now := o.edge.clk.Now()
	if local {
		o.failures.Record(now, service, id, out)
	}
	incarnation, known := o.edge.catalog.Load().Incarnation(id)
	if known {
		o.logChanges(o.detector.Record(now, id, incarnation, out, read))
	}
}

// avoid marks the candidates for a read that fail too many of their statements.
func (o *outliers) avoid(service string, candidates []placing.Candidate, mayProbe bool) {
	now := o.edge.clk.Now()
	if o.detector.Idle() && !o.edge.loadReports.book.Failures(now) {
		return
	}
	if !slices.ContainsFunc(candidates, func(c placing.Candidate) bool { return o.suspects(c.ID, now) }) {
		return
	}
	all := o.targets(service, now)
	avoided, changes := o.detector.Avoided(now, all, mayProbe, rand.Float64())
	o.logChanges(changes)
	for i := range candidates {
		at := slices.IndexFunc(all, func(t outlier.Target) bool { return t.ID == candidates[i].ID })
		if at >= 0 {
			candidates[i].Avoided = avoided[at]
			candidates[i].Returning = !avoided[at] && o.detector.Returning(now, all[at].ID, all[at].Incarnation)
		}
	}
}

// suspects reports whether this VM or a report knows of failures of a target: trouble of one service
// costs the reads of others nothing more.
func (o *outliers) suspects(id target.ID, now clock.Time) bool {
	return o.detector.Knows(id) || len(o.edge.loadReports.book.Failing(id, 0, now)) > 0
}

// targets returns a service's targets as this VM sees them.
func (o *outliers) targets(service string, now clock.Time) []outlier.Target {
	var out []outlier.Target
	for _, t := range o.edge.catalog.Load().ByService[service] {
		if t.Draining {
			continue
		}
		load := o.edge.router.Load(t.ID)
		out = append(out, outlier.Target{
			ID: t.ID, Incarnation: t.Incarnation, Reports: o.edge.loadReports.book.Failing(t.ID, t.Incarnation, now),
			Overloaded: load.Overloaded, Down: load.Down,
		})
	}
	return out
}

// logChanges counts and logs decisions.
func (o *outliers) logChanges(changes []outlier.Change) {
	for _, c := range changes {
		o.edge.decisions.Count(decisions.Outlier, string(c.Target), c.Outcome, 1)
		switch c.Outcome {
		case outlier.SetAside:
			o.edge.log.Warn("target-set-aside", zap.String("target", string(c.Target)), zap.Duration("for", c.For), zap.Int("times", c.Times))
		case outlier.Returned:
			o.edge.log.Info("target-returned", zap.String("target", string(c.Target)), zap.Int("times", c.Times))
		}
	}
}

func (o *outliers) reset() {
	o.failures.Reset()
	o.detector.Reset()
}

func (o *outliers) retain(c *catalog.Catalog) {
	now := o.edge.clk.Now()
	o.failures.Retain(now, c.Incarnation)
	o.detector.Retain(now, c.Incarnation)
}

package relay

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/target"
)

const (
	// usualServiceTime is the time that a statement may take without being reported while nobody
	// waits.
	usualServiceTime = 60 * time.Millisecond
	// failureWeight is the weight of a statement in the fraction of failed ones, which thus covers
	// about the last 32.
	failureWeight = 1.0 / 32
	// minFailed is the smallest fraction of failed statements that is reported.
	minFailed = 0.02
)

// Observed returns the report of a VM on the lane to a target. A target at which nobody waits is
// calm.
func Observed(id target.ID, l lane.Load, failed float64) loadreport.Report {
	r := loadreport.Report{Target: id, Overloaded: l.Overloaded}
	if l.Queued > 0 {
		r.Wait = l.ExpectedWait
		if r.Wait == 0 {
			r.Wait = time.Duration(l.Queued) * l.ServiceTime / time.Duration(max(l.InUse-l.Parked, 1))
		}
	}
	if r.Wait > 0 || l.ServiceTime > usualServiceTime {
		r.ServiceTime = l.ServiceTime
	}
	if failed >= minFailed {
		r.Failed = failed
	}
	return r
}

// failures holds the fraction of recent statements without a complete answer, by target. Targets
// that answer are left out, so that its size is that of the trouble.
type failures struct {
	mu       sync.Mutex
	byTarget map[target.ID]float64
}

func (f *failures) record(id target.ID, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate, known := f.byTarget[id]
	if !failed && !known {
		return
	}
	rate *= 1 - failureWeight
	if failed {
		rate += failureWeight
	}
	if rate < minFailed/2 {
		delete(f.byTarget, id)
		return
	}
	if f.byTarget == nil {
		f.byTarget = make(map[target.ID]float64)
	}
	f.byTarget[id] = rate
}

func (f *failures) rate(id target.ID) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byTarget[id]
}

// Failed returns the fraction of recent statements for a target, run for other VMs, without a
// complete answer.
func (s *Server) Failed(id target.ID) float64 { return s.failures.rate(id) }

// report returns the number of statements at a target and the report of it, which is empty but
// never nil while the target is calm: nil comes from VMs that report nothing.
func (s *Server) report(id target.ID) (load int32, report *gossippb.LoadReport) {
	l := s.cfg.Local.Load(id)
	if s.cfg.ReportsNothing {
		return int32(l.InUse + l.Queued), nil
	}
	r := Observed(id, l, s.failures.rate(id))
	r.Target = ""
	return int32(l.InUse + l.Queued), gossip.LoadReportOf(r, 0)
}

// recordReport records the report in a gateway's reply to a request that was sent, or still at the
// target, at the given time.
func (r *Router) recordReport(id target.ID, vm string, in *gossippb.LoadReport, after clock.Time) {
	if in == nil || r.cfg.Reports == nil {
		return
	}
	report := gossip.LoadReport(in, vm, after)
	report.Target, report.Incarnation = id, r.incarnation(id)
	r.cfg.Reports.Record(report)
}

// endOfWork returns the time at which a target's work for a reply can have ended at the earliest. It has
// come: a report from the future would let no later one replace it.
func (r *Router) endOfWork(sent clock.Time, tookUs int64) clock.Time {
	return min(sent.Add(duration(max(tookUs, 0))), r.cfg.Clock.Now())
}

// incarnation returns the incarnation of a target in the catalog; 0 if it is unknown.
func (r *Router) incarnation(id target.ID) int64 {
	if p := r.assignment.Load(); p != nil && p.catalog.Targets[id] != nil {
		return p.catalog.Targets[id].Incarnation
	}
	return 0
}

// reported returns the load of a target according to the gateways' reports; false if there is none.
func (r *Router) reported(id target.ID, via string, inFlight int, now clock.Time) (lane.Load, bool) {
	if r.cfg.Reports == nil {
		return lane.Load{}, false
	}
	e := r.cfg.Reports.Estimate(id, r.incarnation(id), via, now)
	return lane.Load{
		Reported: true, InUse: inFlight, ExpectedWait: e.Wait, ServiceTime: e.ServiceTime, Failed: e.Failed, Overloaded: e.Overloaded,
	}, e.Known
}

// own returns the load of a target to which this VM holds connections itself. If it does so for
// others too, its own lane tells as much as a report.
func (r *Router) own(id target.ID) lane.Load {
	l := r.cfg.Local.Load(id)
	p := r.assignment.Load()
	if p == nil || p.catalog.Targets[id] == nil || !p.UsesGateways(p.catalog.Targets[id]) || r.cfg.Reports == nil {
		return l
	}
	o := Observed(id, l, 0)
	l.Reported, l.ExpectedWait, l.ServiceTime = true, o.Wait, o.ServiceTime
	l.InUse, l.Queued = 0, 0
	return l
}

// UsesGateways reports whether the fleet uses gateways to any target.
func (r *Router) UsesGateways() bool {
	p := r.assignment.Load()
	return p != nil && p.anyGateway
}

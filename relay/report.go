package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// usualServiceTime is the time that a statement may take without being reported while nobody waits.
const usualServiceTime = 60 * time.Millisecond

// Observed returns the report of a VM on the lane to a target, and on the statements that failed there. A target at which nobody waits is calm.
func Observed(id target.ID, l lane.Load, f outlier.Fraction) loadreport.Report {
	r := loadreport.Report{Target: id, Overloaded: l.Overloaded, Failed: f.Lost, Errored: f.Errored, Statements: f.Statements}
	if l.Queued > 0 {
		r.Wait = l.ExpectedWait
		if r.Wait == 0 {
			r.Wait = time.Duration(l.Queued) * l.ServiceTime / time.Duration(max(l.InUse-l.Parked, 1))
		}
	}
	if r.Wait > 0 || l.ServiceTime > usualServiceTime {
		r.ServiceTime = l.ServiceTime
	}
	return r
}

// outcomeOf returns how a statement ended at a target; false if it did not reach one, or if its error
// is not judged: why a write failed depends on what it writes, and no sibling runs writes to compare
// with.
func outcomeOf(a *statement.Answer, err error, judged bool) (o outlier.Outcome, ok bool) {
	var lost *dispatch.LostError
	switch {
	case err == nil && (a.Code == statement.Failed || a.Code == statement.Timeout):
		return outlier.Errored, judged
	case err == nil:
		return outlier.Answered, true
	case errors.As(err, &lost) && lost.Gateway == "" && !lost.Hurried:
		return outlier.Lost, true
	default:
		return outlier.Answered, false
	}
}

// recordOutcome counts a statement that was run for another VM, also one of a transaction, of which
// only lost answers are judged.
func (s *Server) recordOutcome(id target.ID, in *relaypb.RunRequest, r *dispatch.Result, err error) {
	var a *statement.Answer
	if r != nil {
		a = r.Answer
	}
	if o, ok := outcomeOf(a, err, in.GetTransaction() == 0 && !in.GetCommits()); ok {
		s.cfg.Failures.Record(s.cfg.Clock.Now(), in.GetClaim().GetService(), id, o)
	}
}

// recordOutcome reports a statement of this VM to the configured function, if the fleet uses
// gateways to the target. Local is set if the statement went over this VM's own connections.
func (r *Router) recordOutcome(ctx context.Context, id target.ID, job *dispatch.Job, res *dispatch.Result, err error, local bool) {
	if r.cfg.Outcome == nil || errors.Is(ctx.Err(), context.Canceled) || !r.UsesGatewaysFor(job.Service) {
		return
	}
	var a *statement.Answer
	if res != nil {
		a = res.Answer
	}
	if o, ok := outcomeOf(a, err, !job.Commits); ok && (o != outlier.Lost || !dispatch.Expired(ctx)) {
		r.cfg.Outcome(job.Service, id, o, !job.Commits, local)
	}
}

// report returns the number of statements at a target and the report of it, which is empty but
// never nil while the target is calm: nil comes from VMs that report nothing.
func (s *Server) report(id target.ID) (load int32, report *gossippb.LoadReport) {
	l := s.cfg.Local.Load(id)
	if s.cfg.ReportsNothing {
		return int32(l.InUse + l.Queued), nil
	}
	r := Observed(id, l, s.cfg.Failures.Fraction(s.cfg.Clock.Now(), id))
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
	o := Observed(id, l, outlier.Fraction{})
	l.Reported, l.ExpectedWait, l.ServiceTime = true, o.Wait, o.ServiceTime
	l.InUse, l.Queued = 0, 0
	return l
}

// UsesGateways reports whether the fleet uses gateways to any target.
func (r *Router) UsesGateways() bool {
	p := r.assignment.Load()
	return p != nil && p.anyGateway
}

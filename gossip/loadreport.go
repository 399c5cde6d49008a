package gossip

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/target"
)

// permille is the unit in which fractions are sent.
const permille = 1000

// LoadReportOf encodes a report; its target and reporter are left out where the receiver knows them.
func LoadReportOf(r loadreport.Report, now clock.Time) *gossippb.LoadReport {
	return &gossippb.LoadReport{
		Target: string(r.Target), Reporter: r.Reporter, Incarnation: r.Incarnation,
		AgeUs: uint64(max(now.Sub(r.At).Microseconds(), 0)), WaitUs: uint64(r.Wait.Microseconds()),
		ServiceUs: uint64(r.ServiceTime.Microseconds()), FailedPermille: uint32(r.Failed * permille), ErroredPermille: uint32(r.Errored * permille), Overloaded: r.Overloaded,
		Statements: uint32(max(r.Statements, 0)),
	}
}

// LoadReport decodes a report from a reply of the VM sender. The report was made after the given
// time.
func LoadReport(in *gossippb.LoadReport, sender string, after clock.Time) loadreport.Report {
	r := loadreport.Report{
		Target: target.ID(in.GetTarget()), Reporter: in.GetReporter(), Incarnation: in.GetIncarnation(),
		At: after.Add(-microseconds(in.GetAgeUs())), Wait: microseconds(in.GetWaitUs()),
		ServiceTime: microseconds(in.GetServiceUs()), Failed: fraction(in.GetFailedPermille()), Errored: fraction(in.GetErroredPermille()), Overloaded: in.GetOverloaded(),
		Statements: int(min(in.GetStatements(), loadreport.MaxStatements)),
	}
	if r.Reporter == "" {
		r.Reporter = sender
	}
	return r
}

func fraction(permilles uint32) float64 { return min(float64(permilles)/permille, 1) }

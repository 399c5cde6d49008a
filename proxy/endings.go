package proxy

import (
	"errors"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// overstays ends a transaction at a target that drains, once the profile's
// grace is over. It is looked at between statements; a caller that sends none
// is ended by the idle limit.
func (u *unit) overstays() *filter.Failure {
	if !u.s.srv.cfg.View.Load().Draining[u.r.Server.ID] {
		u.drainSeen = 0
		return nil
	}
	now := u.r.Clock.Now()
	if u.drainSeen == 0 {
		u.drainSeen = now
	}
	if now.Sub(u.drainSeen) < u.r.Session.Profile.DrainGrace {
		return nil
	}
	return u.breakOff(outcome.Refuse(outcome.CodeAdminShutdown, comeBack,
		"server %s is leaving: the open transaction was rolled back", u.r.Server.ID))
}

// withdrawn ends the transaction because nothing more comes from the caller.
// Whatever it did is rolled back with the connection, so it did not run.
func (u *unit) withdrawn(err error) *filter.Failure {
	f := &filter.Failure{Cause: request.FailureCanceled, Fatal: true, Gone: errors.Is(err, errCallerGone)}
	var oerr *outcome.Error
	if !errors.As(err, &oerr) {
		oerr = refuse(outcome.CodeAdminShutdown, "the caller left")
	}
	f.Err = oerr
	u.r.Machine.Refused()
	return f
}

// breakOff refuses within an open transaction. The only way that leaves no
// doubt is to end the connection: the target rolls back.
func (u *unit) breakOff(oerr *outcome.Error) *filter.Failure {
	u.lease.Abandon(abandonTimeout)
	u.r.Machine.Refused()
	return &filter.Failure{Cause: request.FailureShed, Err: oerr, Fatal: true}
}

// chained refuses a COMMIT that opened another transaction in the same message:
// its answer could not be kept back for the gate.
func (u *unit) chained() *filter.Failure {
	u.lease.Abandon(abandonTimeout)
	return &filter.Failure{
		Cause: request.FailureShed,
		Fatal: true,
		Err:   &outcome.Error{Code: codeNotSupported, Message: "COMMIT and BEGIN in one message are not supported"},
	}
}

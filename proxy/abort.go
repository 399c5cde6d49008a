package proxy

import (
	"errors"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// checkDrainGrace ends the transaction if its target has been draining for longer than the
// profile's grace. It runs between statements; the idle limit ends a transaction whose caller sends
// none.
func (u *unit) checkDrainGrace() *filter.Failure {
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
	return u.abort(outcome.Refuse(outcome.CodeAdminShutdown, retryAfter,
		"server %s is leaving: the open transaction was rolled back", u.r.Server.ID))
}

// callerReadFailed ends the transaction because no further statement can be read from the caller.
// Its changes are rolled back with the connection, so the request did not run.
func (u *unit) callerReadFailed(err error) *filter.Failure {
	f := &filter.Failure{Cause: request.FailureCanceled, Fatal: true, CallerDisconnected: errors.Is(err, errCallerDisconnected)}
	var oerr *outcome.Error
	if !errors.As(err, &oerr) {
		oerr = refuse(outcome.CodeAdminShutdown, "the caller left")
	}
	f.Err = oerr
	u.r.Machine.RecordRefused()
	return f
}

// abort refuses to continue an open transaction. It ends the connection, since only that makes it
// certain that the target rolls back.
func (u *unit) abort(oerr *outcome.Error) *filter.Failure {
	u.lease.Abandon(abandonTimeout)
	u.r.Machine.RecordRefused()
	return &filter.Failure{Cause: request.FailureShed, Err: oerr, Fatal: true}
}

// refuseChained refuses a COMMIT that opened another transaction in the same message, since its
// answer could not be withheld for the gate.
func (u *unit) refuseChained() *filter.Failure {
	u.lease.Abandon(abandonTimeout)
	return &filter.Failure{
		Cause: request.FailureShed,
		Fatal: true,
		Err:   &outcome.Error{Code: codeNotSupported, Message: "COMMIT and BEGIN in one message are not supported"},
	}
}

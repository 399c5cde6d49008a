package proxy

import (
	"context"
	"errors"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/request"
)

// abandonTimeout bounds the attempt to stop a statement nobody waits for.
const abandonTimeout = 2 * time.Second

// unit is one transaction's work on one leased connection. It is made anew for
// each attempt.
type unit struct {
	s     *caller
	w     *work
	r     *filter.Request
	lease *pool.Lease
	// chunk is the part of the request that is being run.
	chunk *chunk
	// open says that the target has an open transaction of the caller's, and
	// that the caller knows of it.
	open bool
	// prepared are the statements known to be on this connection.
	prepared map[string]bool
	// keyed says that the request key's row was inserted.
	keyed bool
	// skipping is set after an error in a batch that is not closed yet.
	skipping bool
	// reset says that the connection's reset was sent along: nothing more can be
	// asked on it.
	reset bool
	// status answers what was asked along with the last chunk.
	status statusReader
	// drainSeen is when the server was first seen to drain; 0 is never.
	drainSeen clock.Time
	// ran and committed are what the command tags tell.
	ran, committed bool
}

// work binds a request's first chunk to its session; it implements filter.Work.
type work struct {
	s     *caller
	chunk *chunk
	// current is the chunk that the caller waits for an answer to.
	current *chunk
}

// Run implements filter.Work.
func (w *work) Run(_ context.Context, r *filter.Request, l *pool.Lease) *filter.Failure {
	s := w.s
	s.own(l)
	defer s.disown()
	s.answer.reset()
	u := &unit{s: s, w: w, r: r, lease: l, chunk: w.chunk, prepared: map[string]bool{}}
	if r.Keyed() && !r.Explicit {
		return u.runKeyed()
	}
	return u.run()
}

// run goes through the chunks of the transaction, the last answer of which is
// kept back for the gate.
func (u *unit) run() *filter.Failure {
	for {
		status, fail := u.runChunk()
		if fail != nil {
			return fail
		}
		if status == txIdle {
			return u.conclude()
		}
		if fail := u.next(status); fail != nil {
			return fail
		}
	}
}

// runChunk runs one chunk and returns the transaction status after it; 0 means
// that the batch goes on after a Flush.
func (u *unit) runChunk() (byte, *filter.Failure) {
	if u.open && u.wantsKey() {
		if conflict, fail := u.insertKey(); conflict || fail != nil {
			return txFailed, fail
		}
	}
	x := newExchange(u.lease, u.s.put)
	x.anyAnswer = u.out(GuardStray)
	u.plan(x)
	u.r.Resolvable = u.commitsAlone()
	if err := u.exchange(x, request.StepSent); err != nil {
		return 0, u.lost(err)
	}
	if fail := u.fenced(x); fail != nil {
		return 0, fail
	}
	u.learn(x)
	u.skipping = u.chunk.end == endFlush && (u.skipping || x.failure != nil)
	if !u.open && x.status == txOpen && u.wantsKey() {
		return u.insertOpeningKey()
	}
	return x.status, nil
}

// exchange passes step s, runs x within the deadline and reports to the board.
func (u *unit) exchange(x *exchange, s request.Step) error {
	r := u.r
	r.Machine.Pass(s)
	start := r.Clock.Now()
	if err := u.lease.SetDeadline(time.Now().Add(r.Deadline.Sub(start))); err != nil {
		return err
	}
	board := u.s.srv.cfg.Board
	board.Begin(r.Server.ID, start)
	err := x.run()
	now := r.Clock.Now()
	board.End(r.Server.ID, now, now.Sub(start), err != nil && !isOurs(err))
	if err == nil {
		r.Machine.Pass(request.StepExecuted)
	}
	return err
}

// isOurs reports whether an exchange was ended by the proxy or its caller, so
// that it says nothing of the target.
func isOurs(err error) bool {
	return errors.Is(err, errCopy) || errors.Is(err, errCallerGone) || errors.Is(err, errAnswerTooLarge)
}

// lost turns a broken exchange into a failure. What was sent may have run.
func (u *unit) lost(err error) *filter.Failure {
	if u.s.answer.streamed {
		u.r.Machine.Forwarded()
	}
	u.lease.Abandon(abandonTimeout)
	f := &filter.Failure{Cause: request.FailureLost, Fatal: u.open}
	switch {
	case errors.Is(err, errCallerGone):
		f.Gone = true
		f.Cause = request.FailureCanceled
		f.Err = outcome.Lost(0, "the caller left")
	case errors.Is(err, errCopy):
		f.Cause = request.FailureShed
		f.Err = &outcome.Error{Code: codeNotSupported, Message: "COPY is not supported"}
	case errors.Is(err, errAnswerTooLarge):
		f.Cause = request.FailureShed
		f.Err = &outcome.Error{Code: outcome.CodeProgramLimit, Message: err.Error()}
	case isTimeout(err):
		f.Cause = request.FailureDeadline
		f.Err = outcome.Lost(comeBack, "no answer from %s before the deadline", u.r.Server.ID)
	default:
		f.Err = outcome.Lost(comeBack, "the connection to %s was lost: %v", u.r.Server.ID, err)
	}
	return f
}

// fenced finds out whether an error means that the server is not, or no more,
// the primary of the term that the request was sent under.
//
// Failure guarded against: the view is stale, and a caller is told "read-only"
// by a server that the proxy should not have sent it to. The server's own
// refusal proves that nothing ran: it came before any statement had completed.
func (u *unit) fenced(x *exchange) *filter.Failure {
	if x.failure == nil || u.open || len(x.tags) > 0 || !u.r.OnPrimary() || !u.status.answered() {
		return nil
	}
	code := outcome.SQLSTATE(x.failure.Code)
	if code != codeReadOnlySession && code != codeObjectNotInState {
		return nil
	}
	st, err := u.status.status()
	if err != nil || (st.Term == u.r.Term && st.Promised <= u.r.Term) {
		return nil
	}
	return &filter.Failure{
		Cause: request.FailureFenced,
		Err: outcome.Refuse(outcome.CodeCannotConnectNow, comeBack,
			"server %s is not the primary of term %d", u.r.Server.ID, u.r.Term),
	}
}

// next hands the chunk's answer to the caller and reads the next one.
func (u *unit) next(status byte) *filter.Failure {
	if u.committed {
		return u.chained()
	}
	u.r.Machine.Forwarded()
	if !u.forward(status) {
		return u.lost(errCallerGone)
	}
	if status != 0 {
		u.open = true
	}
	if fail := u.overstays(); fail != nil {
		return fail
	}
	c, err := u.s.readChunk(awaitStatement)
	if err != nil {
		return u.withdrawn(err)
	}
	u.chunk, u.w.current = c, c
	u.r.Extend(u.r.Clock.Now())
	return u.adopt()
}

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

// adopt takes what the statements of an open transaction say of its kind and
// key, if BEGIN said nothing.
func (u *unit) adopt() *filter.Failure {
	tags, oerr := readTags(u.s.statements(u.chunk))
	if oerr != nil {
		return u.breakOff(oerr)
	}
	for _, t := range tags {
		if oerr := u.adoptTag(t); oerr != nil {
			return u.breakOff(oerr)
		}
	}
	return nil
}

func (u *unit) adoptTag(t filter.Tag) *outcome.Error {
	kind := u.r.Session.Profile.KindOf(t.Kind)
	switch {
	case kind == nil:
		return refuse(outcome.CodeInvalidParameter, "kind \""+t.Kind+"\" is not declared")
	case t.Key != "" && u.r.Tag.Key != "" && t.Key != u.r.Tag.Key:
		return refuse(outcome.CodeInvalidParameter, "the transaction has another request key")
	case u.r.Tag.Kind == "" && t.Kind != "" && kind.Access == profile.Write:
		u.r.Kind, u.r.Tag.Kind = kind, t.Kind
	}
	if t.Key != "" {
		u.r.Tag.Key = t.Key
	}
	if u.r.Kind.Key == profile.KeyRequired && u.r.Tag.Key == "" {
		return refuse(outcome.CodeInvalidParameter, "kind \""+u.r.Kind.Name+"\" requires a request key")
	}
	return nil
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

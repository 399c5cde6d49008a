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

// abandonTimeout bounds the attempt to stop a statement whose result is no longer needed.
const abandonTimeout = 2 * time.Second

// unit is the work of one transaction on one leased connection. Each attempt uses a new one.
type unit struct {
	s     *caller
	w     *work
	r     *filter.Request
	lease *pool.Lease
	// chunk is the part of the request that is being run.
	chunk *chunk
	// open reports that the target has an open transaction of the caller, and that the caller has
	// received the answer which opened it.
	open bool
	// prepared holds the names of the statements that are prepared on this connection.
	prepared map[string]bool
	// keyed reports that the insertion of the request key's row was sent.
	keyed bool
	// skipping is set after an error in a batch that has not ended yet.
	skipping bool
	// reset reports that the connection's reset was sent along: no further query can be sent on it.
	reset bool
	// flushed reports that an earlier part of the batch ended with a Flush.
	flushed bool
	// status reads the answer to the status query that was sent along with the last chunk.
	status statusReader
	// drainSeen is when the server was first seen draining; 0 means never.
	drainSeen clock.Time
	// ran and committed are derived from the command tags.
	ran, committed bool
}

// work binds a request's first chunk to its session; it implements filter.Work.
type work struct {
	s     *caller
	chunk *chunk
	// current is the chunk whose answer the caller is waiting for.
	current *chunk
}

// Run implements filter.Work.
func (w *work) Run(_ context.Context, r *filter.Request, l *pool.Lease) *filter.Failure {
	s := w.s
	s.setLease(l)
	defer s.clearLease()
	s.answer.reset()
	u := &unit{s: s, w: w, r: r, lease: l, chunk: w.chunk, prepared: map[string]bool{}}
	if r.Keyed() && !r.Explicit {
		return u.runKeyed()
	}
	return u.run()
}

// run runs the chunks of the transaction. The answer to the last one is withheld for the gate.
func (u *unit) run() *filter.Failure {
	for {
		status, fail := u.runChunk()
		if fail != nil {
			return fail
		}
		if status == txIdle {
			return u.findPosition()
		}
		if fail := u.nextChunk(status); fail != nil {
			return fail
		}
	}
}

// runChunk runs one chunk and returns the transaction status after it; 0 means that the batch
// continues after a Flush.
func (u *unit) runChunk() (byte, *filter.Failure) {
	if u.open && u.needsKey() {
		if conflict, fail := u.insertKey(); conflict || fail != nil {
			return txFailed, fail
		}
	}
	x := newExchange(u.lease, u.s.put)
	x.allowStray = u.disabled(GuardStray)
	u.plan(x)
	u.r.Resolvable = u.commitsAlone()
	if err := u.exchange(x, request.StepSent); err != nil {
		return 0, u.exchangeFailed(err)
	}
	if fail := u.checkFenced(x); fail != nil {
		return 0, fail
	}
	if u.reset && x.status != txIdle {
		return 0, u.exchangeFailed(errStray)
	}
	u.applyCommandTags(x)
	u.flushed = u.flushed || u.chunk.end == endFlush
	u.skipping = u.chunk.end == endFlush && (u.skipping || x.failure != nil)
	if !u.open && x.status == txOpen && u.needsKey() {
		return u.insertOpeningKey()
	}
	return x.status, nil
}

// exchange passes step s, runs x within the deadline and reports the result to the tracker.
func (u *unit) exchange(x *exchange, s request.Step) error {
	r := u.r
	r.Machine.RecordStep(s)
	start := r.Clock.Now()
	until := time.Now().Add(r.Deadline.Sub(start))
	u.s.answer.deadline = until
	if err := u.lease.SetDeadline(until); err != nil {
		return err
	}
	tracker := u.s.srv.cfg.Tracker
	tracker.Begin(r.Server.ID, start)
	err := x.run()
	now := r.Clock.Now()
	tracker.End(r.Server.ID, now, now.Sub(start), err != nil && !notTargetFailure(err))
	if err == nil {
		r.Machine.RecordStep(request.StepExecuted)
	}
	return err
}

// notTargetFailure reports whether the proxy or its caller ended an exchange, so that the error
// says nothing about the target.
func notTargetFailure(err error) bool {
	return errors.Is(err, errCopy) || errors.Is(err, errCallerDisconnected) || errors.Is(err, errAnswerTooLarge)
}

// exchangeFailed turns a failed exchange into a failure of the request. The messages sent may have
// taken effect.
func (u *unit) exchangeFailed(err error) *filter.Failure {
	if u.s.answer.streamed {
		u.r.Machine.RecordForwarded()
	}
	u.lease.Abandon(abandonTimeout)
	f := &filter.Failure{Cause: request.FailureLost, Fatal: u.open}
	switch {
	case errors.Is(err, errCallerDisconnected):
		f.CallerDisconnected = true
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
		f.Err = outcome.Lost(retryAfter, "no answer from %s before the deadline", u.r.Server.ID)
	default:
		f.Err = outcome.Lost(retryAfter, "the connection to %s was lost: %v", u.r.Server.ID, err)
	}
	return f
}

// checkFenced detects an error which shows that the server is not, or no longer, the primary of the
// term under which the request was sent.
//
// Failure guarded against: the view is outdated, and a caller receives a "read-only" error from a
// server that the proxy should not have sent its request to. The server's own refusal proves that
// nothing ran, since it came before any statement had completed.
func (u *unit) checkFenced(x *exchange) *filter.Failure {
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
		Err: outcome.Refuse(outcome.CodeCannotConnectNow, retryAfter,
			"server %s is not the primary of term %d", u.r.Server.ID, u.r.Term),
	}
}

// nextChunk sends the chunk's answer to the caller and reads the next chunk.
func (u *unit) nextChunk(status byte) *filter.Failure {
	if u.committed {
		return u.refuseChained()
	}
	u.r.Machine.RecordForwarded()
	if !u.forward(status) {
		return u.exchangeFailed(errCallerDisconnected)
	}
	if status != 0 {
		u.open = true
	}
	if fail := u.checkDrainGrace(); fail != nil {
		return fail
	}
	c, err := u.s.readChunk(awaitStatement)
	if err != nil {
		return u.callerReadFailed(err)
	}
	u.chunk, u.w.current = c, c
	u.r.Extend(u.r.Clock.Now())
	return u.applyTags()
}

// applyTags applies the kind and key in the tags of an open transaction's statements, if BEGIN set
// none.
func (u *unit) applyTags() *filter.Failure {
	tags, oerr := readTags(u.s.statements(u.chunk))
	if oerr != nil {
		return u.abort(oerr)
	}
	for _, t := range tags {
		if oerr := u.applyTag(t); oerr != nil {
			return u.abort(oerr)
		}
	}
	return nil
}

func (u *unit) applyTag(t filter.Tag) *outcome.Error {
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

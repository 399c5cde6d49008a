package proxy

import (
	"encoding/base64"
	"net/url"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// Statements on the table of request keys.
const (
	insertKeySQL = "INSERT INTO endivemoor_requests (key, digest, answer) VALUES ($1, $2, '')"
	updateKeySQL = "UPDATE endivemoor_requests SET answer = $2 WHERE key = $1"
	selectKeySQL = "SELECT digest, answer FROM endivemoor_requests WHERE key = $1"
)

// maxRecordedBytes bounds a recorded answer before its base64 encoding.
const maxRecordedBytes = 64 << 10

// keyName scopes a request key to its user: two services may use the same key, and neither may
// receive the other's answer.
func (u *unit) keyName() string {
	if u.disabled(GuardKeyUser) {
		return u.r.Tag.Key
	}
	return url.QueryEscape(u.s.state.User) + ":" + u.r.Tag.Key
}

// runKeyed runs the chunk in a transaction that also inserts the key's row.
//
// Failure guarded against: a payment is sent twice, because its caller times out early or because
// it reaches two proxies at once, and it runs twice. The row is inserted before the statement and
// in the same transaction, so the target lets at most one of them commit; the others find the row
// and receive its answer.
func (u *unit) runKeyed() *filter.Failure {
	if oerr := u.checkKeyed(); oerr != nil {
		return filter.Refusal(oerr)
	}
	digest := u.digest()
	x, keyErr := u.planKeyed(digest)
	if err := u.exchange(x, request.StepSent); err != nil {
		return u.exchangeFailed(err)
	}
	switch {
	case *keyErr != nil && outcome.SQLSTATE((*keyErr).Code) == codeUniqueViolation:
		return u.answerRepeat(digest)
	case *keyErr != nil:
		return u.rollBack(*keyErr)
	case x.failure != nil:
		return u.rollBack(x.failure)
	}
	return u.commitKeyed()
}

// checkKeyed rejects transaction control among the statements: a ROLLBACK would drop the key's row
// and let the remaining statements run without it.
func (u *unit) checkKeyed() *outcome.Error {
	if u.chunk.end == endFlush {
		return refuse(codeNotSupported, "Flush is not supported within a keyed request")
	}
	for _, st := range u.s.statements(u.chunk) {
		if st.control && !u.disabled(GuardControl) {
			return refuse(codeNotSupported, "a keyed request takes plain statements without transaction control")
		}
	}
	return nil
}

// planKeyed returns BEGIN, the insertion of the key's row and the caller's statements as one batch.
// If the insertion fails, the target skips the statements.
func (u *unit) planKeyed(digest string) (*exchange, **pgproto3.ErrorResponse) {
	x := newExchange(u.lease, u.s.put)
	x.size = u.chunk.size
	keyErr := new(*pgproto3.ErrorResponse)
	x.add(step{msg: &pgproto3.Query{String: "BEGIN"}, show: showNothing, onMessage: recordError(keyErr)})
	if !u.disabled(GuardKeyRow) {
		u.addHidden(x, recordError(keyErr), insertKeySQL, u.keyName(), digest)
	}
	planned := map[string]bool{}
	for _, m := range u.chunk.msgs {
		if q, ok := m.(*pgproto3.Query); ok {
			addExtended(x, q.String)
			continue
		}
		u.ensurePrepared(x, m, planned)
		x.add(u.stepFor(m, planned))
	}
	x.add(step{msg: &pgproto3.Sync{}})
	return x, keyErr
}

// recordError returns a callback that stores the first error in a step's answer.
func recordError(into **pgproto3.ErrorResponse) func(pgproto3.BackendMessage) {
	return func(m pgproto3.BackendMessage) {
		if e, ok := m.(*pgproto3.ErrorResponse); ok && *into == nil {
			cp := *e
			*into = &cp
		}
	}
}

// addHidden adds a statement of the proxy's own. It replaces the unnamed prepared statement, so the
// caller's has to be prepared again.
func (u *unit) addHidden(x *exchange, onMessage func(pgproto3.BackendMessage), sql string, args ...string) {
	delete(u.prepared, "")
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	x.add(step{msg: &pgproto3.Parse{Query: sql}, show: showNothing, onMessage: onMessage})
	x.add(step{msg: &pgproto3.Bind{Parameters: params}, show: showNothing, onMessage: onMessage})
	x.add(step{msg: &pgproto3.Execute{}, show: showNothing, onMessage: onMessage})
}

// addExtended sends a simple query by the extended protocol, whose Parse accepts a single statement
// only.
func addExtended(x *exchange, sql string) {
	x.add(step{msg: &pgproto3.Parse{Query: sql}, show: showErrors})
	x.add(step{msg: &pgproto3.Bind{}, show: showErrors})
	x.add(step{msg: &pgproto3.Describe{ObjectType: 'P'}, show: showRows})
	x.add(step{msg: &pgproto3.Execute{}, show: showRows})
}

// rollBack rolls back and forwards the target's error, unless the error shows that the server was
// superseded.
func (u *unit) rollBack(e *pgproto3.ErrorResponse) *filter.Failure {
	x := newExchange(u.lease, u.s.put)
	x.add(step{msg: &pgproto3.Query{String: tagRollback}, show: showNothing})
	u.status = statusReader{}
	x.add(u.status.step())
	if err := u.exchange(x, request.StepExecuted); err != nil {
		return u.exchangeFailed(err)
	}
	if fail := u.checkFenced(&exchange{failure: e}); fail != nil {
		return fail
	}
	u.s.answer.reset()
	return u.putOrFail(e)
}

func (u *unit) putOrFail(m pgproto3.BackendMessage) *filter.Failure {
	if err := u.s.put(m); err != nil {
		return u.exchangeFailed(err)
	}
	return nil
}

// commitKeyed records the answer with the key and commits both.
func (u *unit) commitKeyed() *filter.Failure {
	var recordErr, commitErr *pgproto3.ErrorResponse
	var tag string
	x := newExchange(u.lease, u.s.put)
	u.addHidden(x, recordError(&recordErr), updateKeySQL, u.keyName(), u.encodeAnswer())
	x.add(step{msg: &pgproto3.Sync{}, show: showNothing})
	x.add(step{msg: &pgproto3.Query{String: tagCommit}, show: showNothing, onMessage: func(m pgproto3.BackendMessage) {
		recordError(&commitErr)(m)
		if c, ok := m.(*pgproto3.CommandComplete); ok {
			tag = string(c.CommandTag)
		}
	}})
	u.status = statusReader{}
	x.add(u.status.step())
	if err := u.exchange(x, request.StepCommitSent); err != nil {
		return u.exchangeFailed(err)
	}
	if tag == tagCommit {
		return u.recordPosition()
	}
	return u.commitFailed(recordErr, commitErr)
}

// commitFailed forwards the reason for which the target did not commit. The target's reply proves
// that it did not.
func (u *unit) commitFailed(errs ...*pgproto3.ErrorResponse) *filter.Failure {
	for _, e := range errs {
		if e != nil {
			return u.rollBack(e)
		}
	}
	return u.rollBack(response(severityError, refuse(codeObjectNotInState, "the transaction was rolled back")))
}

// encodeAnswer returns the answer as it is stored with the key, or nothing if it was streamed or is
// too large.
func (u *unit) encodeAnswer() string {
	a := &u.s.answer
	if a.streamed || len(a.buf) > maxRecordedBytes {
		return ""
	}
	return base64.StdEncoding.EncodeToString(a.buf)
}

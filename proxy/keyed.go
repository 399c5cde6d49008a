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

// maxRecorded bounds a recorded answer, in bytes before encoding.
const maxRecorded = 64 << 10

// keyName scopes a request key to its user: two services may use the same key
// and must not be given each other's answers.
func (u *unit) keyName() string {
	if u.out(GuardKeyUser) {
		return u.r.Tag.Key
	}
	return url.QueryEscape(u.s.state.User) + ":" + u.r.Tag.Key
}

// runKeyed runs the chunk inside a transaction that the key's row belongs to.
//
// Failure guarded against: a payment is sent twice, by an impatient caller or
// through two proxies at once, and runs twice. The row is inserted before the
// statement and in the same transaction, so the target lets at most one of them
// commit; the others find the row and are given its answer.
func (u *unit) runKeyed() *filter.Failure {
	if oerr := u.checkKeyed(); oerr != nil {
		return filter.Refusal(oerr)
	}
	digest := u.digest()
	x, keyErr := u.planKeyed(digest)
	if err := u.exchange(x, request.StepSent); err != nil {
		return u.lost(err)
	}
	switch {
	case *keyErr != nil && outcome.SQLSTATE((*keyErr).Code) == codeUniqueViolation:
		return u.repeat(digest)
	case *keyErr != nil:
		return u.undo(*keyErr)
	case x.failure != nil:
		return u.undo(x.failure)
	}
	return u.commitKeyed()
}

// checkKeyed keeps transaction control out of the statements: a ROLLBACK among
// them would drop the key's row and let the rest run without it.
func (u *unit) checkKeyed() *outcome.Error {
	if u.chunk.end == endFlush {
		return refuse(codeNotSupported, "Flush is not supported within a keyed request")
	}
	for _, st := range u.s.statements(u.chunk) {
		if st.control && !u.out(GuardControl) {
			return refuse(codeNotSupported, "a keyed request takes plain statements without transaction control")
		}
	}
	return nil
}

// planKeyed returns BEGIN, the key's row and the caller's statements as one
// batch. If the row is refused the target skips the statements.
func (u *unit) planKeyed(digest string) (*exchange, **pgproto3.ErrorResponse) {
	x := newExchange(u.lease, u.s.put)
	x.size = u.chunk.size
	keyErr := new(*pgproto3.ErrorResponse)
	x.add(step{msg: &pgproto3.Query{String: "BEGIN"}, show: showNever, on: keepError(keyErr)})
	if !u.out(GuardKeyRow) {
		u.addHidden(x, keepError(keyErr), insertKeySQL, u.keyName(), digest)
	}
	planned := map[string]bool{}
	for _, m := range u.chunk.msgs {
		if q, ok := m.(*pgproto3.Query); ok {
			addAsBatch(x, q.String)
			continue
		}
		u.ensure(x, m, planned)
		x.add(u.stepFor(m, planned))
	}
	x.add(step{msg: &pgproto3.Sync{}})
	return x, keyErr
}

// keepError keeps the first error that a step is answered by.
func keepError(into **pgproto3.ErrorResponse) func(pgproto3.BackendMessage) {
	return func(m pgproto3.BackendMessage) {
		if e, ok := m.(*pgproto3.ErrorResponse); ok && *into == nil {
			kept := *e
			*into = &kept
		}
	}
}

// addHidden adds a statement of the proxy's own. It takes the place of the
// unnamed statement, so the caller's has to be prepared again.
func (u *unit) addHidden(x *exchange, on func(pgproto3.BackendMessage), sql string, args ...string) {
	delete(u.prepared, "")
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	x.add(step{msg: &pgproto3.Parse{Query: sql}, show: showNever, on: on})
	x.add(step{msg: &pgproto3.Bind{Parameters: params}, show: showNever, on: on})
	x.add(step{msg: &pgproto3.Execute{}, show: showNever, on: on})
}

// addAsBatch sends a simple query by Parse, which takes one statement only.
func addAsBatch(x *exchange, sql string) {
	x.add(step{msg: &pgproto3.Parse{Query: sql}, show: showNone})
	x.add(step{msg: &pgproto3.Bind{}, show: showNone})
	x.add(step{msg: &pgproto3.Describe{ObjectType: 'P'}, show: showRows})
	x.add(step{msg: &pgproto3.Execute{}, show: showRows})
}

// undo rolls back and gives the caller the target's error, unless that shows
// that the server was superseded.
func (u *unit) undo(e *pgproto3.ErrorResponse) *filter.Failure {
	x := newExchange(u.lease, u.s.put)
	x.add(step{msg: &pgproto3.Query{String: tagRollback}, show: showNever})
	u.status = statusReader{}
	x.add(u.status.step())
	if err := u.exchange(x, request.StepExecuted); err != nil {
		return u.lost(err)
	}
	if fail := u.fenced(&exchange{failure: e}); fail != nil {
		return fail
	}
	u.s.answer.reset()
	return u.putOrLose(e)
}

func (u *unit) putOrLose(m pgproto3.BackendMessage) *filter.Failure {
	if err := u.s.put(m); err != nil {
		return u.lost(err)
	}
	return nil
}

// commitKeyed records the answer with the key and commits both.
func (u *unit) commitKeyed() *filter.Failure {
	var recordErr, commitErr *pgproto3.ErrorResponse
	var tag string
	x := newExchange(u.lease, u.s.put)
	u.addHidden(x, keepError(&recordErr), updateKeySQL, u.keyName(), u.recorded())
	x.add(step{msg: &pgproto3.Sync{}, show: showNever})
	x.add(step{msg: &pgproto3.Query{String: tagCommit}, show: showNever, on: func(m pgproto3.BackendMessage) {
		keepError(&commitErr)(m)
		if c, ok := m.(*pgproto3.CommandComplete); ok {
			tag = string(c.CommandTag)
		}
	}})
	u.status = statusReader{}
	x.add(u.status.step())
	if err := u.exchange(x, request.StepCommitSent); err != nil {
		return u.lost(err)
	}
	if tag == tagCommit {
		return u.position()
	}
	return u.uncommitted(recordErr, commitErr)
}

// uncommitted tells why the target did not commit. Its word proves it.
func (u *unit) uncommitted(errs ...*pgproto3.ErrorResponse) *filter.Failure {
	for _, e := range errs {
		if e != nil {
			return u.undo(e)
		}
	}
	return u.undo(response(severityError, refuse(codeObjectNotInState, "the transaction was rolled back")))
}

// recorded returns the answer as it is kept, or nothing if it is too large.
func (u *unit) recorded() string {
	a := &u.s.answer
	if a.streamed || len(a.buf) > maxRecorded {
		return ""
	}
	return base64.StdEncoding.EncodeToString(a.buf)
}

package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// explicitDigest is the digest of every explicit transaction, whose statements are not known when
// the key's row is inserted.
const explicitDigest = "transaction"

// digest identifies the content of the keyed chunk: the kind, each statement's text without its
// tag, its parameters and formats, and the sequence of messages, so that a recorded answer has the
// messages that the caller expects.
func (u *unit) digest() string {
	h := sha256.New()
	hashText(h, u.r.Kind.Name)
	local := map[string]string{}
	for _, m := range u.chunk.msgs {
		switch m := m.(type) {
		case *pgproto3.Query:
			hashText(h, "query", untagged(m.String))
		case *pgproto3.Parse:
			local[m.Name] = m.Query
			hashMessage(h, &pgproto3.Parse{Query: untagged(m.Query), ParameterOIDs: m.ParameterOIDs})
		case *pgproto3.Bind:
			hashText(h, untagged(u.s.textOf(m.PreparedStatement, local)))
			b := *m
			b.PreparedStatement, b.DestinationPortal = "", ""
			hashMessage(h, &b)
		case *pgproto3.Describe:
			hashMessage(h, &pgproto3.Describe{ObjectType: m.ObjectType})
		case *pgproto3.Execute:
			hashMessage(h, &pgproto3.Execute{MaxRows: m.MaxRows})
		case *pgproto3.Close:
			hashMessage(h, &pgproto3.Close{ObjectType: m.ObjectType})
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

func untagged(sql string) string {
	_, rest, _ := filter.ParseTag(sql)
	return rest
}

// hashText adds strings with their lengths, so that no two lists produce the same input.
func hashText(h hash.Hash, texts ...string) {
	for _, t := range texts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(t)))
		h.Write(n[:])
		h.Write([]byte(t))
	}
}

// hashMessage adds a message in its wire form, which includes its length. A message that was
// decoded from the wire can always be encoded again.
func hashMessage(h hash.Hash, m pgproto3.FrontendMessage) {
	buf, _ := m.Encode(nil)
	h.Write(buf)
}

// keyRecord is a row of the table of request keys.
type keyRecord struct {
	found          bool
	digest, answer string
}

func (r *keyRecord) scan(m pgproto3.BackendMessage) {
	if d, ok := m.(*pgproto3.DataRow); ok && len(d.Values) == 2 {
		r.found = true
		r.digest, r.answer = string(d.Values[0]), string(d.Values[1])
	}
}

// answerRepeat answers a request whose key is taken with the answer recorded for the key. The row
// may have been committed only recently, by a primary that is being superseded, so this answer
// passes the gate like the first one.
func (u *unit) answerRepeat(digest string) *filter.Failure {
	rec, fail := u.readRecord()
	if fail != nil {
		return fail
	}
	if !rec.found {
		return &filter.Failure{
			Cause: request.FailureLost,
			Err:   outcome.Lost(retryAfter, "the request key was taken by a transaction that ended otherwise"),
		}
	}
	if fail := u.recordPosition(); fail != nil {
		return fail
	}
	u.s.answer.reset()
	if rec.digest != digest && !u.disabled(GuardDigest) {
		u.r.Committed = false
		return u.putOrFail(response(severityError, refuse(outcome.CodeInvalidParameter,
			"the request key was used for another request")))
	}
	return u.replay(rec)
}

// replay puts the recorded answer in place of one from the target.
func (u *unit) replay(rec *keyRecord) *filter.Failure {
	raw, err := base64.StdEncoding.DecodeString(rec.answer)
	if err != nil || len(raw) == 0 {
		return u.putOrFail(alreadyExecuted())
	}
	u.s.answer.buf = append(u.s.answer.buf, raw...)
	u.s.answer.held = 0
	return nil
}

func alreadyExecuted() *pgproto3.ErrorResponse {
	return response(severityError, &outcome.Error{
		Outcome: outcome.Done,
		Code:    outcome.CodeAlreadyExecuted,
		Message: "a transaction with this request key has committed; its answer is not recorded",
	})
}

// readRecord rolls back the failed transaction and reads the key's row.
func (u *unit) readRecord() (*keyRecord, *filter.Failure) {
	rec := &keyRecord{}
	x := newExchange(u.lease, u.s.put)
	x.add(step{msg: &pgproto3.Query{String: tagRollback}, show: showNothing})
	u.addHidden(x, rec.scan, selectKeySQL, u.keyName())
	x.add(step{msg: &pgproto3.Sync{}, show: showNothing})
	u.status = statusReader{}
	x.add(u.status.step())
	if err := u.exchange(x, request.StepExecuted); err != nil {
		return nil, u.exchangeFailed(err)
	}
	return rec, nil
}

// needsKey reports whether the transaction carries a key whose row is not yet inserted.
func (u *unit) needsKey() bool { return u.r.Tag.Key != "" && !u.keyed }

// insertKey inserts the key's row within an open transaction. A conflict fails the transaction. The
// error for the caller reports that the key is taken but not that the other transaction committed,
// since that did not pass the gate.
func (u *unit) insertKey() (conflict bool, fail *filter.Failure) {
	keyErr, fail := u.tryInsert()
	if fail != nil || keyErr == nil {
		return false, fail
	}
	if outcome.SQLSTATE(keyErr.Code) == codeUniqueViolation {
		keyErr = response(severityError, &outcome.Error{
			Code: outcome.CodeAlreadyExecuted, RetryAfter: retryAfter,
			Message: "the request key is taken: repeat the transaction with the key at BEGIN to learn its outcome",
		})
	}
	u.skipping = u.chunk.end == endFlush
	return true, u.putOrFail(keyErr)
}

func (u *unit) tryInsert() (*pgproto3.ErrorResponse, *filter.Failure) {
	var keyErr *pgproto3.ErrorResponse
	x := newExchange(u.lease, u.s.put)
	u.addHidden(x, recordError(&keyErr), insertKeySQL, u.keyName(), explicitDigest)
	x.add(step{msg: &pgproto3.Sync{}, show: showNothing})
	if err := u.exchange(x, request.StepSent); err != nil {
		return nil, u.exchangeFailed(err)
	}
	u.keyed = true
	return keyErr, nil
}

// insertOpeningKey inserts the row directly after BEGIN. If the key is taken, the transaction ends
// here, and the recorded outcome passes the gate.
func (u *unit) insertOpeningKey() (byte, *filter.Failure) {
	keyErr, fail := u.tryInsert()
	if fail != nil || keyErr == nil {
		return txOpen, fail
	}
	u.ran, u.committed = false, false
	if outcome.SQLSTATE(keyErr.Code) != codeUniqueViolation {
		return txIdle, u.rollBack(keyErr)
	}
	return txIdle, u.answerRepeat(explicitDigest)
}

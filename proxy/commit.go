package proxy

import (
	"strings"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/target"
)

// Command tags that the proxy evaluates.
const (
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSelect   = "SELECT"
	tagSet      = "SET"
)

// nonModifying holds the first words of the command tags that report no change of data.
var nonModifying = map[string]bool{
	tagRollback: true, "BEGIN": true, "START": true, tagSet: true, "SHOW": true, "RESET": true,
	"DISCARD": true, "DEALLOCATE": true, "PREPARE": true, "LISTEN": true, "UNLISTEN": true,
	"SAVEPOINT": true, "RELEASE": true, "FETCH": true, "CLOSE": true, "EXPLAIN": true,
}

// applyCommandTags updates ran and committed from the command tags of a chunk. An error undoes the
// work of the same implicit transaction, but not what an earlier COMMIT made durable.
func (u *unit) applyCommandTags(x *exchange) {
	for _, t := range x.tags {
		word, _, _ := strings.Cut(t, " ")
		switch {
		case word == tagCommit:
			u.committed = true
		case word == tagRollback:
			u.ran = false
		case !nonModifying[word] && !(word == tagSelect && u.r.IsRead()):
			u.ran = true
		}
		if word == tagSet && !u.open && x.status == txIdle {
			_ = u.s.put(warning("session settings end with the transaction: this is a pooled connection"))
		}
	}
	if x.failure != nil && !u.open && !u.committed {
		u.ran = false
	}
}

// findPosition determines the log position of the transaction's commit.
//
// If a statement that was sent to a replica as a read reports a change, the server is no longer a
// replica; without a status report from it the outcome is unknown.
//
// A SELECT of a kind that is not declared as a read counts as a write, since it may call a function
// that writes. A declared read that the primary answered counts as a write only if a command tag
// reports a change.
func (u *unit) findPosition() *filter.Failure {
	if !u.maybeCommitted() {
		return nil
	}
	if !u.status.answered() && !u.reset {
		if fail := u.queryStatus(); fail != nil {
			return fail
		}
	}
	return u.recordPosition()
}

// maybeCommitted reports whether there may be a commit to acknowledge. In an explicit transaction
// only a COMMIT makes changes durable; a target may answer the COMMIT of a failed transaction with
// the tag ROLLBACK.
func (u *unit) maybeCommitted() bool {
	if u.open {
		return u.committed
	}
	return u.committed || u.ran
}

func (u *unit) queryStatus() *filter.Failure {
	x := newExchange(u.lease, u.s.put)
	x.add(u.status.step())
	if err := u.exchange(x, request.StepExecuted); err != nil {
		return u.exchangeFailed(err)
	}
	return nil
}

// recordPosition takes the position of the commit from the server's status report.
//
// Failure guarded against: between the commit and the status query the primary is superseded,
// rewound and made to follow the new primary. Its log then has a different end, and its position
// says nothing about the commit. Only a status of the same term from a primary counts; otherwise
// the outcome is unknown. The same applies to a request sent to a replica that has since become a
// primary; a server that is still a replica committed nothing.
func (u *unit) recordPosition() *filter.Failure {
	st, err := u.status.status()
	if err == nil && !u.r.OnPrimary() && st.Role == target.RoleReplica {
		return nil
	}
	if err != nil || !u.r.OnPrimary() || st.Role != target.RolePrimary || !u.sameTerm(st) {
		return &filter.Failure{
			Cause: request.FailureSuperseded,
			Err:   outcome.Lost(retryAfter, "server %s was superseded around the commit", u.r.Server.ID),
		}
	}
	u.r.Committed = true
	u.r.Position = st.Position()
	return nil
}

func (u *unit) sameTerm(st target.Status) bool {
	return st.Term == u.r.Term || u.disabled(GuardTerm)
}

// disabled reports whether a test disabled the guard.
func (u *unit) disabled(n guard.Name) bool { return u.s.srv.cfg.Guards.Disabled(n) }

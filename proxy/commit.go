package proxy

import (
	"strings"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/target"
)

// Command tags that the proxy looks at.
const (
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSelect   = "SELECT"
	tagSet      = "SET"
)

// harmless are the first words of command tags that change no data.
var harmless = map[string]bool{
	tagRollback: true, "BEGIN": true, "START": true, tagSet: true, "SHOW": true, "RESET": true,
	"DISCARD": true, "DEALLOCATE": true, "PREPARE": true, "LISTEN": true, "UNLISTEN": true,
	"SAVEPOINT": true, "RELEASE": true, "FETCH": true, "CLOSE": true, "EXPLAIN": true,
}

// learn goes by the command tags of a chunk. An error undoes what ran in the
// same implicit transaction, but not what a COMMIT before it made last.
func (u *unit) learn(x *exchange) {
	for _, t := range x.tags {
		word, _, _ := strings.Cut(t, " ")
		switch {
		case word == tagCommit:
			u.committed = true
		case word == tagRollback:
			u.ran = false
		case !harmless[word] && !(word == tagSelect && u.r.IsRead()):
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

// conclude finds the position of what the transaction committed.
//
// A change by what was sent as a read to a replica shows that it is none any
// more; without an account of it the outcome is unknown.
//
// A SELECT of a kind that was not declared a read counts as a write: it may
// call a function that writes. A declared read that was answered by the
// primary counts only if a command tag shows a change.
func (u *unit) conclude() *filter.Failure {
	if !u.maybeCommitted() {
		return nil
	}
	if !u.status.answered() && !u.reset {
		if fail := u.askStatus(); fail != nil {
			return fail
		}
	}
	return u.position()
}

// maybeCommitted reports whether there is anything to acknowledge. In an
// explicit transaction only a COMMIT makes its work last; a target may call a
// COMMIT of a failed transaction ROLLBACK.
func (u *unit) maybeCommitted() bool {
	if u.open {
		return u.committed
	}
	return u.committed || u.ran
}

func (u *unit) askStatus() *filter.Failure {
	x := newExchange(u.lease, u.s.put)
	x.add(u.status.step())
	if err := u.exchange(x, request.StepExecuted); err != nil {
		return u.lost(err)
	}
	return nil
}

// position takes the server's account after the commit.
//
// Failure guarded against: between commit and question the primary was
// superseded, rewound and made to follow. Its log then ends elsewhere, and the
// position says nothing of the commit. Only an account of the same term by a
// primary counts; otherwise the outcome is unknown. The same holds for what was
// sent to a replica that has become a primary meanwhile; one that is still a
// replica committed nothing.
func (u *unit) position() *filter.Failure {
	st, err := u.status.status()
	if err == nil && !u.r.OnPrimary() && st.Role == target.RoleReplica {
		return nil
	}
	if err != nil || !u.r.OnPrimary() || st.Role != target.RolePrimary || !u.sameTerm(st) {
		return &filter.Failure{
			Cause: request.FailureSuperseded,
			Err:   outcome.Lost(comeBack, "server %s was superseded around the commit", u.r.Server.ID),
		}
	}
	u.r.Committed = true
	u.r.Position = st.Position()
	return nil
}

func (u *unit) sameTerm(st target.Status) bool {
	return st.Term == u.r.Term || u.out(GuardTerm)
}

// out reports whether a test took the guard out.
func (u *unit) out(n guard.Name) bool { return u.s.srv.cfg.Guards.Out(n) }

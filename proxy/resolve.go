package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/pool"
)

// Resolve implements filter.Work. It looks up the key of a transaction whose COMMIT got no answer
// and, if the key is found, constructs the answer.
func (w *work) Resolve(r *filter.Request, l *pool.Lease) *filter.Failure {
	u := &unit{s: w.s, w: w, r: r, lease: l, chunk: w.current, prepared: map[string]bool{}}
	rec, fail := u.readRecord()
	if fail != nil {
		return fail
	}
	if !rec.found || rec.digest != explicitDigest {
		return filter.Missing()
	}
	if fail := u.recordPosition(); fail != nil {
		return fail
	}
	return u.answerCommit()
}

// answerCommit answers the chunk as the target would have.
func (u *unit) answerCommit() *filter.Failure {
	u.s.answer.reset()
	for _, m := range u.chunk.msgs {
		for _, a := range commitAnswer(m) {
			if fail := u.putOrFail(a); fail != nil {
				return fail
			}
		}
	}
	return nil
}

func commitAnswer(m pgproto3.FrontendMessage) []pgproto3.BackendMessage {
	done := &pgproto3.CommandComplete{CommandTag: []byte(tagCommit)}
	switch m := m.(type) {
	case *pgproto3.Query, *pgproto3.Execute:
		return []pgproto3.BackendMessage{done}
	case *pgproto3.Parse:
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case *pgproto3.Bind:
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case *pgproto3.Close:
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
		}
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	}
	return nil
}

// commitsAlone reports whether the chunk is a COMMIT and nothing else, so that its answer is known
// in advance.
func (u *unit) commitsAlone() bool {
	statements := u.s.statements(u.chunk)
	return u.open && u.keyed && u.chunk.end != endFlush && len(statements) == 1 &&
		statements[0].ends() && statements[0].single
}

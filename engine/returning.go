package engine

import (
	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/groups"
)

// callerHash returns a hash of who asks what, equal for a caller's tries of one operation; 0 if the
// fleet does not reach the service through gateways.
//
// It covers who connects, the database, and the operation's first statement with the shape that a
// prepared name stands for: names and ids differ between tries. The begin of a transaction is
// answered here, and its first statement opens the transaction.
func (s *Session) callerHash(g *groups.Group, w *work, begins bool) uint64 {
	if !s.engine.usesGateways(g.Service) {
		return 0
	}
	kind, text := "single", w.st.Text
	if begins {
		kind = "begin"
	}
	if w.prepared != nil {
		text = w.prepared.Shape + "\n" + w.st.Arguments
	}
	return xxhash.Sum64String(string(s.key)+"\n"+s.database+"\n"+kind+"\n"+text) | 1
}

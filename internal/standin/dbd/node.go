package dbd

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// firstTerm is the term of the seed entry and of the first primary.
const firstTerm timeline.Term = 1

// node is the replicated state of one server. Each change of the log, the role or the promise holds
// mu from the check of its preconditions until it has taken effect.
type node struct {
	id     target.ID
	faults *Faults
	log    *zap.Logger

	mu       sync.Mutex
	role     target.Role
	blank    bool
	stopped  bool
	promised timeline.Term
	entries  *entryLog
	engine   *engine
	// follower is the running replication, nil on a primary.
	follower *follower
	// discarded holds the entries that each follow command has discarded, by its term, so that a
	// repeated command gets the same answer.
	discarded map[timeline.Term][]target.Entry
}

func newNode(ctx context.Context, o Options, f *Faults) (*node, error) {
	e, err := newEngine(ctx)
	if err != nil {
		return nil, err
	}
	n := &node{
		id:        o.ID,
		faults:    f,
		log:       o.Log,
		role:      target.RoleReplica,
		blank:     o.Role == RoleBlank,
		entries:   newEntryLog(),
		engine:    e,
		discarded: make(map[timeline.Term][]target.Entry),
	}
	if n.blank {
		return n, nil
	}
	if o.Role == RolePrimary {
		n.role = target.RolePrimary
	}
	n.promised = firstTerm
	return n, n.seed(ctx, o.Seed)
}

// seed writes the first entry, which is the same on each server of a group.
func (n *node) seed(ctx context.Context, stmts []string) error {
	e := Entry{Position: timeline.Position{Term: firstTerm, LSN: 1}}
	for _, s := range append([]string{RequestTable}, stmts...) {
		e.Statements = append(e.Statements, Statement{SQL: s})
	}
	if err := n.engine.replay(ctx, e.Statements); err != nil {
		return err
	}
	n.entries.append(e)
	return nil
}

// status returns the server's status report.
func (n *node) status() target.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

func (n *node) statusLocked() target.Status {
	end := n.entries.end()
	return target.Status{
		Server:   n.id,
		Role:     n.role,
		Term:     end.Term,
		Promised: n.promised,
		LSN:      end.LSN,
		Start:    n.entries.history.Last().LSN,
	}
}

// storage returns the current storage. A rewind replaces it.
func (n *node) storage() *engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine
}

// writable returns the term in which this server accepts writes, and its storage. ok is false on a
// replica, on a fenced primary and after stop.
func (n *node) writable() (term timeline.Term, e *engine, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	term = n.entries.end().Term
	return term, n.engine, n.acceptsWritesLocked(term)
}

// acceptsWritesLocked reports whether this server is the primary of term and has not promised a
// higher term.
func (n *node) acceptsWritesLocked(term timeline.Term) bool {
	return !n.stopped && n.role == target.RolePrimary && n.entries.end().Term == term && n.promised <= term
}

// commit commits tx and returns the position of its entry. A transaction without writes adds no
// entry and returns the end of the log.
//
// Failure guarded against: a primary is fenced while a transaction is open and commits it
// afterwards. The promotion then loses an acknowledged write: no server has the row. The promise is
// therefore checked and the entry appended under one hold of mu, which fence also takes.
func (n *node) commit(tx *writeTx) (timeline.Position, error) {
	n.faults.waitWhileFrozen()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.acceptsWritesLocked(tx.term) || n.engine != tx.engine {
		tx.rollback()
		return timeline.Position{}, errEvicted
	}
	if err := tx.commit(); err != nil {
		return timeline.Position{}, err
	}
	if len(tx.written) == 0 {
		return n.entries.end(), nil
	}
	n.appendLocked(tx.term, tx.written)
	return n.entries.end(), nil
}

func (n *node) appendLocked(term timeline.Term, stmts []Statement) {
	n.entries.append(Entry{
		Position:        timeline.Position{Term: term, LSN: n.entries.end().LSN + 1},
		CommittedMicros: time.Now().UnixMicro(),
		Statements:      stmts,
	})
}

// fence promises term and rolls back the open write transaction of a lower term.
func (n *node) fence(term timeline.Term) (target.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blank {
		return target.Status{}, sqlErrorf(codeNotInState, "this server has lost its storage and may not vote")
	}
	if term < n.promised {
		return target.Status{}, newFencedError(n.promised)
	}
	n.promised = term
	if n.entries.end().Term < term {
		n.engine.evict()
	}
	n.log.Info("fenced", zap.Uint64("term", uint64(term)))
	return n.statusLocked(), nil
}

// promote makes the server the primary of the term that it has promised.
//
// Failure guarded against: a term with two primaries. A server that follows the primary of the term
// or has entries of the term therefore refuses.
func (n *node) promote(term timeline.Term) (target.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptsWritesLocked(term) {
		return n.statusLocked(), nil
	}
	following := n.follower != nil && n.follower.term >= term
	if n.blank || n.promised != term || n.entries.end().Term >= term || following {
		return target.Status{}, newFencedError(n.promised)
	}
	n.stopFollowerLocked()
	n.engine.evict()
	n.role = target.RolePrimary
	n.appendLocked(term, nil)
	n.log.Info("promoted", zap.Uint64("term", uint64(term)), zap.Uint64("lsn", uint64(n.entries.end().LSN)))
	return n.statusLocked(), nil
}

// stop ends replication and makes the node refuse all further commits.
func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.stopFollowerLocked()
}

func (n *node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// close frees the storage of a stopped node.
func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.close()
}

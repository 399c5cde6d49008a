package dbd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// retryDelay is the time from a failed replication attempt to the next.
	retryDelay = 50 * time.Millisecond
	// delayPollInterval bounds each sleep before an entry is due, so that a change of the
	// replication delay takes effect.
	delayPollInterval = 5 * time.Millisecond
)

// errStopped reports a replicated entry of a primary that this server no longer follows.
var errStopped = errors.New("replication from this primary was stopped")

// follower is the replication from one primary in one term.
type follower struct {
	primary string
	term    timeline.Term
	cancel  context.CancelFunc
}

func (n *node) stopFollowerLocked() {
	if n.follower != nil {
		n.follower.cancel()
		n.follower = nil
	}
}

// follow makes the server replicate from the primary of term. It returns the discarded entries,
// also when the same command is repeated.
func (n *node) follow(ctx context.Context, primary string, term timeline.Term) ([]target.Entry, error) {
	if err := n.acceptTerm(term); err != nil {
		return nil, err
	}
	n.faults.waitPeers(ctx)
	primaryLog, err := fetchHistory(ctx, n.peerName(), primary, term)
	if err != nil {
		return nil, sqlErrorf(codeConnectionFailure, "cannot learn the primary's history: %s", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.promised != term || n.role == target.RolePrimary {
		return nil, newFencedError(n.promised)
	}
	if err := n.rewindLocked(ctx, primaryLog, term); err != nil {
		return nil, err
	}
	n.startFollowerLocked(primary, term)
	return n.discarded[term], nil
}

// acceptTerm promises term, makes a primary of a lower term a replica and rolls back its open write
// transaction.
func (n *node) acceptTerm(term timeline.Term) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.promised || n.acceptsWritesLocked(term) {
		return newFencedError(n.promised)
	}
	n.promised = term
	n.role = target.RoleReplica
	n.engine.evict()
	return nil
}

// rewindLocked discards the entries that the primary's log does not have, and rebuilds the storage
// from the others.
//
// Failure guarded against: the requester of the rewind gives up while the storage is rebuilt, and
// the log is truncated although the storage is not. Every later follow command then finds a log
// that matches the primary's, and replication fails permanently on the first entry that inserts a
// row again that the rewind should have removed. The rebuild therefore ignores the cancellation of
// the command, and the log is truncated only after the storage is rebuilt.
func (n *node) rewindLocked(ctx context.Context, primaryLog primaryHistory, term timeline.Term) error {
	common := commonEnd(n.entries.history, n.entries.end().LSN, primaryLog.starts, primaryLog.end)
	if common >= n.entries.end().LSN {
		return nil
	}
	if err := n.rebuildLocked(context.WithoutCancel(ctx), common); err != nil {
		return err
	}
	dropped := n.entries.truncate(common)
	for _, e := range dropped {
		n.discarded[term] = append(n.discarded[term], target.Entry{Position: e.Position, Statement: summarize(e.Statements)})
	}
	n.log.Warn("rewound", zap.Uint64("lsn", uint64(common)), zap.Int("discarded", len(dropped)))
	return nil
}

// rebuildLocked replaces the storage by a new one with the entries up to end.
func (n *node) rebuildLocked(ctx context.Context, end timeline.LSN) error {
	rebuilt, err := newEngine(ctx)
	if err != nil {
		return err
	}
	for _, e := range n.entries.entries {
		if e.Position.LSN > end {
			break
		}
		if err := rebuilt.replay(ctx, e.Statements); err != nil {
			return err
		}
	}
	old := n.engine
	n.engine = rebuilt
	old.close()
	return nil
}

func (n *node) startFollowerLocked(primary string, term timeline.Term) {
	if f := n.follower; f != nil && f.primary == primary && f.term == term {
		return
	}
	n.stopFollowerLocked()
	ctx, cancel := context.WithCancel(context.Background())
	f := &follower{primary: primary, term: term, cancel: cancel}
	n.follower = f
	go n.replicate(ctx, f)
}

// replicate fetches and applies entries until the follower is stopped. It logs a failure only when
// its text differs from that of the previous one.
func (n *node) replicate(ctx context.Context, f *follower) {
	lastFailure := ""
	for ctx.Err() == nil {
		err := n.pull(ctx, f)
		if errors.Is(err, errStopped) {
			return
		}
		if err != nil && ctx.Err() == nil {
			if err.Error() != lastFailure {
				lastFailure = err.Error()
				n.log.Warn("replication-interrupted", zap.String("primary", f.primary), zap.Error(err))
			}
			wait.For(ctx, retryDelay)
		}
	}
}

// pull replicates from the primary over one connection until an error.
func (n *node) pull(ctx context.Context, f *follower) error {
	n.faults.waitPeers(ctx)
	conn, err := dialPeer(ctx, n.peerName(), f.primary)
	if err != nil {
		return err
	}
	defer closePeer(conn)
	for {
		n.faults.waitPeers(ctx)
		entries, err := fetchEntries(ctx, conn, n.position(), f.term)
		if err != nil {
			return err
		}
		n.faults.waitPeers(ctx)
		for _, e := range entries {
			if err := n.receive(ctx, f, e); err != nil {
				return err
			}
		}
	}
}

// receive waits until the replication delay of an entry has passed, then applies it.
func (n *node) receive(ctx context.Context, f *follower, e Entry) error {
	for {
		due := time.UnixMicro(e.CommittedMicros).Add(n.faults.replicationDelay())
		left := time.Until(due)
		if left <= 0 {
			break
		}
		wait.For(ctx, min(left, delayPollInterval))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	n.faults.waitWhileFrozen()
	return n.applyEntry(ctx, f, e)
}

// applyEntry appends a replicated entry.
//
// Failure guarded against: a superseded primary extends the log of a replica after the replica was
// fenced for a promotion. The log that the promoter chose as the longest then no longer is, and the
// new primary lacks a write that the replica has. The promise is therefore checked under the mutex
// that fence takes.
func (n *node) applyEntry(ctx context.Context, f *follower, e Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower != f || n.promised > f.term {
		return errStopped
	}
	if e.Position.LSN != n.entries.end().LSN+1 || e.Position.Term < n.entries.end().Term {
		return errors.Errorf("replicated entry %v does not follow the end of the local log, %v", e.Position, n.entries.end())
	}
	if err := n.engine.replay(ctx, e.Statements); err != nil {
		return err
	}
	n.entries.append(e)
	n.blank = false
	return nil
}

func (n *node) position() timeline.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries.end()
}

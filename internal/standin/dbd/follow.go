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
	// retryPause is how long a replica waits before it asks again.
	retryPause = 50 * time.Millisecond
	// delayStep bounds the sleep before an entry, so that a changed delay is
	// seen.
	delayStep = 5 * time.Millisecond
)

// errStopped says that a replicated entry came from a primary that this server
// no longer follows.
var errStopped = errors.New("replication was stopped")

// follower is one replication from one primary.
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

// follow makes the server replicate from primary in term. It returns what was
// discarded, also when the same order is given again.
func (n *node) follow(ctx context.Context, primary string, term timeline.Term) ([]target.Entry, error) {
	if err := n.yieldTo(term); err != nil {
		return nil, err
	}
	n.faults.waitPeers(ctx)
	theirs, err := fetchHistory(ctx, n.peerName(), primary, term)
	if err != nil {
		return nil, failure(codeConnectionFailure, "cannot learn the primary's history: %s", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.promised != term || n.role == target.RolePrimary {
		return nil, fenced(n.promised)
	}
	if err := n.rewindLocked(ctx, theirs, term); err != nil {
		return nil, err
	}
	n.startFollowerLocked(primary, term)
	return n.discarded[term], nil
}

// yieldTo promises term and gives up a lower one's leadership.
func (n *node) yieldTo(term timeline.Term) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.promised || n.leadsLocked(term) {
		return fenced(n.promised)
	}
	n.promised = term
	n.role = target.RoleReplica
	n.engine.evict()
	return nil
}

// rewindLocked drops what the primary's log does not have, and rebuilds the
// storage from the rest.
//
// Failure stopped here: whoever ordered the rewind gives up while the storage is
// rebuilt, the log is cut and the storage is not. Every later order finds a log
// that fits, and the replica fails for ever on the first entry that repeats a
// row it should have dropped. The rebuild therefore outlives its order, and the
// log is cut only when the storage stands.
func (n *node) rewindLocked(ctx context.Context, theirs primaryHistory, term timeline.Term) error {
	common := commonEnd(n.entries.history, n.entries.end().LSN, theirs.starts, theirs.end)
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

// rebuildLocked replaces the storage by one made of the entries up to end.
func (n *node) rebuildLocked(ctx context.Context, end timeline.LSN) error {
	fresh, err := newEngine(ctx)
	if err != nil {
		return err
	}
	for _, e := range n.entries.entries {
		if e.Position.LSN > end {
			break
		}
		if err := fresh.replay(ctx, e.Statements); err != nil {
			return err
		}
	}
	old := n.engine
	n.engine = fresh
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

// replicate pulls entries until the follower is stopped.
func (n *node) replicate(ctx context.Context, f *follower) {
	last := ""
	for ctx.Err() == nil {
		err := n.pull(ctx, f)
		if errors.Is(err, errStopped) {
			return
		}
		if err != nil && ctx.Err() == nil {
			if err.Error() != last {
				last = err.Error()
				n.log.Warn("replication-interrupted", zap.String("primary", f.primary), zap.Error(err))
			}
			wait.For(ctx, retryPause)
		}
	}
}

// pull follows the primary over one connection.
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

// receive waits for an entry's delay to pass, then applies it.
func (n *node) receive(ctx context.Context, f *follower, e Entry) error {
	for {
		due := time.UnixMicro(e.CommittedMicros).Add(n.faults.replicationDelay())
		left := time.Until(due)
		if left <= 0 {
			break
		}
		wait.For(ctx, min(left, delayStep))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	n.faults.pause()
	return n.applyEntry(ctx, f, e)
}

// applyEntry appends a replicated entry.
//
// Failure stopped here: a superseded primary extends a replica that was fenced
// for a promotion, so that the promoter's choice of the longest log no longer
// holds. It would show as a kept write that the new primary lacks. The promise
// is checked under the same mutex that fence takes.
func (n *node) applyEntry(ctx context.Context, f *follower, e Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower != f || n.promised > f.term {
		return errStopped
	}
	if e.Position.LSN != n.entries.end().LSN+1 || e.Position.Term < n.entries.end().Term {
		return errors.Errorf("entry %v does not follow %v", e.Position, n.entries.end())
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

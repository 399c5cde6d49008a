package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// Config of an Engine.
type Config struct {
	Catalog *catalog.Holder
	Groups  *groups.Registry
	// Runner runs statements at targets.
	Runner  dispatch.Runner
	Placing *placing.Tracker
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *Metrics
	// Zone is this VM's availability zone.
	Zone string
	// Limiter bounds the operations of workspaces.
	Limiter Limiter
	// Decisions counts the engine's decisions; it may be nil.
	Decisions *decisions.Recorder
}

// Limiter bounds the operations of workspaces over the whole fleet. It is safe for
// concurrent use.
type Limiter interface {
	// Take takes one operation of a priority from the workspace's limit. If the limit is exhausted,
	// or the rest is reserved for more urgent operations, it returns false and a retry-after.
	Take(ctx context.Context, w *catalog.Workspace, priority int) (retryAfter time.Duration, ok bool)
	// Return returns what was taken for an operation that has not run.
	Return(w *catalog.Workspace)
}

// Engine opens sessions. It is safe for concurrent use.
type Engine struct {
	cfg Config
}

// New returns an Engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

// unconfiguredRetryAfter is the retry-after of a VM that has no configuration yet: about the
// interval at which it retries the store.
const unconfiguredRetryAfter = 500 * time.Millisecond

// Open returns a session, or an answer that refuses it.
//
// Failure guarded against: a VM that has just started has no routes and answers that a database
// does not exist, which consumers treat as final. Only a VM with a configuration can give that
// answer; without one, the session is refused as busy.
func (e *Engine) Open(database string, key catalog.KeyDigest) (*Session, *statement.Answer) {
	c := e.cfg.Catalog.Load()
	if c.Config == nil {
		return nil, refuse(statement.Busy, unconfiguredRetryAfter, "come back: this VM has no configuration yet", statement.Idle)
	}
	s := &Session{engine: e, database: database, key: key}
	if _, _, refused := s.lookUp(); refused != nil {
		return nil, refused
	}
	return s, nil
}

// sameZone reports whether a target is in this VM's availability zone.
func (e *Engine) sameZone(t *catalog.Target) bool { return t.Zone == e.cfg.Zone }

// recordFailure records that a target did not answer, unless the answer was lost at a gateway.
func (e *Engine) recordFailure(id target.ID, lost *dispatch.LostError) {
	if lost.Gateway == "" {
		e.cfg.Placing.Failed(id, e.cfg.Clock.Now())
	}
}

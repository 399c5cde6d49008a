package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
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
	// Runner carries statements to targets.
	Runner  dispatch.Runner
	Placing *placing.Board
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *Metrics
	// Zone is this VM's availability zone.
	Zone string
	// Limiter bounds what workspaces may ask for.
	Limiter Limiter
}

// Limiter bounds the operations of workspaces over the whole fleet. It is safe for
// concurrent use.
type Limiter interface {
	// Take lets one operation through, or says when to come back.
	Take(ctx context.Context, w *catalog.Workspace) (comeBack time.Duration, ok bool)
	// Return gives back what was taken for an operation that has not run.
	Return(w *catalog.Workspace)
}

// Engine opens sessions. It is safe for concurrent use.
type Engine struct {
	cfg Config
}

// New returns an Engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

// unconfigured is when a consumer should return to a VM that has no configuration
// yet: about the time in which it tries the store again.
const unconfigured = 500 * time.Millisecond

// Open returns a session, or why there is none.
//
// Failure guarded against: a VM that has just started knows no route, and tells
// consumers that their database does not exist. They take that for final. It holds
// because only a configuration can say what there is not.
func (e *Engine) Open(database string, key catalog.KeyDigest) (*Session, *statement.Answer) {
	c := e.cfg.Catalog.Load()
	if c.Config == nil {
		return nil, refuse(statement.Busy, unconfigured, "come back: this VM has no configuration yet", statement.Idle)
	}
	s := &Session{engine: e, database: database, key: key}
	if _, _, refused := s.lookUp(); refused != nil {
		return nil, refused
	}
	return s, nil
}

// near reports whether a target is in this VM's availability zone.
func (e *Engine) near(t *catalog.Target) bool { return t.Zone == e.cfg.Zone }

// blame records that a target did not answer, unless a gateway on the way to it
// is to blame.
func (e *Engine) blame(id target.ID, lost *dispatch.LostError) {
	if lost.Gateway == "" {
		e.cfg.Placing.Failed(id, e.cfg.Clock.Now())
	}
}

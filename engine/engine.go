package engine

import (
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/placing"
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
}

// Engine opens sessions. It is safe for concurrent use.
type Engine struct {
	cfg Config
}

// New returns an Engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

// Open starts a session for a database, unless no route has its name.
func (e *Engine) Open(database string) (*Session, bool) {
	if e.cfg.Catalog.Load().Route(database) == nil {
		return nil, false
	}
	return &Session{engine: e, database: database}, true
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

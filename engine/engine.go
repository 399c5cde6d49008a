package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/feature"
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
	// UsesGateways reports whether the fleet reaches a service's targets through gateways; nil means
	// that it does not.
	UsesGateways func(service string) bool
	// Avoid marks the candidates for a read that fail too many of their statements; nil marks none.
	// MayProbe is set if the read can be repeated in time.
	Avoid func(service string, candidates []placing.Candidate, mayProbe bool)
	// Features tells which parts run.
	Features feature.Set
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
	// unconfigured assigns the return times of callers that are refused before there is a
	// configuration.
	unconfigured groups.Returns
}

// New returns an Engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

const (
	// unconfiguredRetryAfter is the shortest retry-after of a VM that has no configuration yet: about
	// the interval at which it retries the store.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// maxUnconfiguredRetryAfter is the longest one. It is not known how much time such a caller has:
	// its route is part of the configuration.
	maxUnconfiguredRetryAfter = 2 * time.Second
)

// Open returns a session, or an answer that refuses it.
//
// Failure guarded against: a VM that has just started has no routes and answers that a database
// does not exist, which consumers treat as final. Only a VM with a configuration can give that
// answer; without one, the session is refused as busy.
func (e *Engine) Open(database string, key catalog.KeyDigest) (*Session, *statement.Answer) {
	c := e.cfg.Catalog.Load()
	if c.Config == nil {
		after := e.unconfigured.Next(e.cfg.Clock.Now(), 0, unconfiguredRetryAfter, maxUnconfiguredRetryAfter, rand.Float64())
		e.cfg.Decisions.Count(decisions.Refusal, "sessions", "unconfigured", 1)
		return nil, refuse(statement.Busy, after, "come back: this VM has no configuration yet", statement.Idle)
	}
	s := &Session{engine: e, database: database, key: key}
	if _, _, refused := s.lookUp(); refused != nil {
		return nil, refused
	}
	return s, nil
}

// usesGateways reports whether the fleet reaches a service's targets through gateways.
func (e *Engine) usesGateways(service string) bool {
	return e.cfg.UsesGateways != nil && e.cfg.UsesGateways(service)
}

// sameZone reports whether a target is in this VM's availability zone.
func (e *Engine) sameZone(t *catalog.Target) bool { return t.Zone == e.cfg.Zone }

// recordFailure records that a target did not answer, unless the answer was lost at a gateway.
func (e *Engine) recordFailure(id target.ID, lost *dispatch.LostError) {
	if lost.Gateway == "" {
		e.cfg.Placing.Failed(id, e.cfg.Clock.Now())
	}
}

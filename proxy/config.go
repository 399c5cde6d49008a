package proxy

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/xdg-go/scram"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Acknowledger proves that commits and positions were not superseded.
type Acknowledger = filter.Gate

// Tracker records the latency and the result of exchanges with a server.
type Tracker interface {
	Begin(id target.ID, now clock.Time)
	End(id target.ID, now clock.Time, latency time.Duration, failed bool)
}

// Tokens signs and verifies session tokens.
type Tokens interface {
	Issue(user string, m session.Watermarks, now time.Time) (string, error)
	Verify(token, user string, now time.Time) (session.Watermarks, error)
}

// Users looks up SCRAM credentials.
type Users interface {
	// Lookup returns false for an unknown user.
	Lookup(user string) (scram.StoredCredentials, bool)
}

// RemoteCancel forwards a cancel request for a session of another proxy. It returns once the
// request was passed on.
type RemoteCancel func(ctx context.Context, pid uint32, secret []byte)

// Config configures a Server. View, Router, Tracker, Limiter, Pool, Tokens, Users, Ack, Clock and
// Log are required.
type Config struct {
	View    *view.Holder
	Router  filter.Chooser
	Tracker Tracker
	Limiter filter.Admission
	Pool    filter.Connections
	Tokens  Tokens
	Users   Users
	// TLS is nil if callers connect in plain text.
	TLS   *tls.Config
	Ack   Acknowledger
	Clock clock.Clock
	Log   *zap.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// Recorder may be nil.
	Recorder filter.Sink
	// Zone is this VM's availability zone.
	Zone string
	// Node identifies this VM in the process ids assigned to callers, so that another VM's proxy
	// can forward a cancel request to it.
	Node uint16
	// RemoteCancel may be nil.
	RemoteCancel RemoteCancel
	// Retry configures the groups' retry budgets.
	Retry retry.Config
	// Seed seeds the jitter of retries.
	Seed   uint64
	Limits Limits
	// Guards is set by tests only.
	Guards guard.Set
}

// Guards that a test may disable.
const (
	// GuardTerm rejects the position of a commit under another term than the request's.
	GuardTerm guard.Name = "proxy/term-of-commit"
	// GuardKeyRow inserts the request key's row.
	GuardKeyRow guard.Name = "proxy/key-row"
	// GuardKeyUser scopes a request key to its user.
	GuardKeyUser guard.Name = "proxy/key-of-user"
	// GuardControl rejects transaction control in keyed requests.
	GuardControl guard.Name = "proxy/no-transaction-control"
	// GuardStray rejects messages of a target that answer no request.
	GuardStray guard.Name = "proxy/stray-answers"
	// GuardDigest rejects a key that was used for another request.
	GuardDigest guard.Name = "proxy/key-digest"
)

// Limits bounds the number of sessions and the resources that each may use. Zero fields take the
// defaults.
type Limits struct {
	// MaxSessions bounds the connections, including those that have not logged in.
	MaxSessions int
	// MaxMessage bounds one message, in bytes.
	MaxMessage int
	// MaxBatch bounds the messages up to Sync or Flush, in bytes.
	MaxBatch int
	// MaxStatements and MaxStatementBytes bound a caller's prepared statements.
	MaxStatements     int
	MaxStatementBytes int
	// Startup bounds the time from connect to login.
	Startup time.Duration
	// Message bounds the time from a message's first bytes to its end, and the time in which a
	// caller must read an answer.
	Message time.Duration
	// IdleInTransaction bounds the time that an open transaction, which holds a connection, may
	// wait for its caller's next statement.
	IdleInTransaction time.Duration
	// AnswerBuffer is the size up to which an answer is buffered whole, in bytes.
	AnswerBuffer int
	// MaxHeld bounds the part of an answer that must wait for the gate, in bytes.
	MaxHeld int
}

// Defaults of Limits.
const (
	DefaultMaxSessions       = 10000
	DefaultMaxMessage        = 1 << 20
	DefaultMaxBatch          = 4 << 20
	DefaultMaxStatements     = 2000
	DefaultStatementBytes    = 8 << 20
	DefaultStartup           = 10 * time.Second
	DefaultMessage           = 30 * time.Second
	DefaultIdleInTransaction = 10 * time.Second
	DefaultAnswerBuffer      = 256 << 10
	DefaultMaxHeld           = 16 << 20
)

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (l Limits) withDefaults() Limits {
	orDefault(&l.MaxSessions, DefaultMaxSessions)
	orDefault(&l.MaxMessage, DefaultMaxMessage)
	orDefault(&l.MaxBatch, DefaultMaxBatch)
	orDefault(&l.MaxStatements, DefaultMaxStatements)
	orDefault(&l.MaxStatementBytes, DefaultStatementBytes)
	orDefault(&l.Startup, DefaultStartup)
	orDefault(&l.Message, DefaultMessage)
	orDefault(&l.IdleInTransaction, DefaultIdleInTransaction)
	orDefault(&l.AnswerBuffer, DefaultAnswerBuffer)
	orDefault(&l.MaxHeld, DefaultMaxHeld)
	return l
}

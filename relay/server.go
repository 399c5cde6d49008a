package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/ratelimit"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Local runs the statements; Control sends commands to targets, and Statuses sends status
	// queries.
	Local    dispatch.Runner
	Control  Controller
	Statuses *Statuses
	Groups   *groups.Registry
	Clock    clock.Clock
	Log      *zap.Logger
	// BrokenAt returns when a connection to a target last broke, or 0; nil means that none ever does.
	BrokenAt func(id target.ID) clock.Time
	// Serves reports whether this VM accepts new work for a target.
	Serves func(id target.ID) bool
	// Idle returns how long a transaction may stay open without a statement.
	Idle func() time.Duration
	// Draw takes tokens from this VM's share of a workspace's limit.
	Draw func(workspace string, r ratelimit.Request) ratelimit.Reply
	// Returning holds the refused callers of each service; without it, what others tell is ignored.
	Returning *returning.Books
	// Failures counts the statements that fail at targets.
	Failures *outlier.Counter
	// ReportsNothing is set if replies carry no load reports.
	ReportsNothing bool
}

// Server runs other VMs' statements over this VM's own connections. It is safe
// for concurrent use.
type Server struct {
	cfg ServerConfig

	mu   sync.Mutex
	open map[uint64]*openTransaction
}

// openTransaction is a transaction that is open for another VM. The Server's lock guards all fields
// but tx.
type openTransaction struct {
	tx dispatch.Transaction
	// lastUsed is when the last statement ended.
	lastUsed clock.Time
	// busy is set while a statement runs.
	busy bool
	// abandoned is set if the other VM ended the transaction while a statement was running.
	abandoned bool
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Failures == nil {
		cfg.Failures = &outlier.Counter{}
	}
	if cfg.BrokenAt == nil {
		cfg.BrokenAt = func(target.ID) clock.Time { return 0 }
	}
	return &Server{cfg: cfg, open: make(map[uint64]*openTransaction)}
}

// Handler returns the Server's HTTP handler and the path prefix that it serves.
func (s *Server) Handler() (path string, h http.Handler) {
	twirp := relaypb.NewRelayServer(s)
	return twirp.PathPrefix(), terse.Handler(twirp)
}

// Count returns the number of transactions that are open for other VMs.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

var declined = &relaypb.Failure{Kind: relaypb.Failure_DECLINED}

// Run implements relaypb.Relay.
func (s *Server) Run(ctx context.Context, in *relaypb.RunRequest) (*relaypb.RunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, duration(in.GetLeftUs()))
	defer cancel()
	if in.GetTransaction() != 0 {
		return s.runInTransaction(ctx, in)
	}
	id := target.ID(in.GetClaim().GetTarget())
	if !s.cfg.Serves(id) {
		return &relaypb.RunReply{Failure: declined}, nil
	}
	s.renewWitness(in.GetClaim().GetService(), id)
	r, err := s.cfg.Local.Run(ctx, id, claim(in.GetClaim(), s.cfg.Clock.Now()), job(in))
	return s.reply(id, in, r, err), nil
}

func (s *Server) reply(id target.ID, in *relaypb.RunRequest, r *dispatch.Result, err error) *relaypb.RunReply {
	s.recordOutcome(id, in, r, err)
	out := &relaypb.RunReply{Evidence: s.evidence(in.GetClaim().GetService(), in.GetProofAgeUs())}
	out.Load, out.LoadReport = s.report(id)
	if err != nil {
		out.Failure = failureOf(err)
		return out
	}
	out.Answer, out.TookUs = answerOf(r.Answer), micros(r.Took)
	return out
}

// runInTransaction runs a statement of an open transaction, and removes the transaction once it
// has ended.
func (s *Server) runInTransaction(ctx context.Context, in *relaypb.RunRequest) (*relaypb.RunReply, error) {
	h := s.acquire(in.GetTransaction())
	if h == nil {
		return &relaypb.RunReply{Failure: &relaypb.Failure{Kind: relaypb.Failure_UNREADY, Text: "the transaction is not open here"}}, nil
	}
	s.renewWitness(in.GetClaim().GetService(), h.tx.Target())
	r, err := h.tx.Run(ctx, claim(in.GetClaim(), s.cfg.Clock.Now()).Options, job(in))
	switch {
	case err != nil:
		s.remove(in.GetTransaction())
		h.tx.Discard()
	case r.Answer.State == statement.Idle:
		s.remove(in.GetTransaction())
		h.tx.Release()
	case s.statementEnded(h):
		h.tx.Abandon()
	}
	return s.reply(h.tx.Target(), in, r, err), nil
}

// acquire marks an open transaction as busy with one statement and returns it; nil if it is not
// open, or is busy.
func (s *Server) acquire(number uint64) *openTransaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[number]
	if h == nil || h.busy {
		return nil
	}
	h.busy = true
	return h
}

// statementEnded records the end of a statement, and reports whether the other VM abandoned the
// transaction while it ran.
func (s *Server) statementEnded(h *openTransaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.busy, h.lastUsed = false, s.cfg.Clock.Now()
	return h.abandoned
}

func (s *Server) remove(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, number)
}

// Open implements relaypb.Relay.
func (s *Server) Open(ctx context.Context, in *relaypb.OpenRequest) (*relaypb.OpenReply, error) {
	id := target.ID(in.GetClaim().GetTarget())
	if !s.cfg.Serves(id) {
		return &relaypb.OpenReply{Failure: declined}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, duration(in.GetLeftUs()))
	defer cancel()
	service := in.GetClaim().GetService()
	s.renewWitness(service, id)
	o := &dispatch.Opening{Service: service, Values: values(in.GetValues())}
	o.Begin.ReadOnly, o.Begin.After = in.GetReadOnly(), position(in.GetAfter())
	tx, a, err := s.cfg.Local.Open(ctx, id, claim(in.GetClaim(), s.cfg.Clock.Now()), o)
	load, report := s.report(id)
	if err != nil {
		return &relaypb.OpenReply{Failure: failureOf(err), Load: load, LoadReport: report}, nil
	}
	out := &relaypb.OpenReply{Answer: answerOf(a), Load: load, LoadReport: report, Evidence: s.evidence(service, in.GetProofAgeUs())}
	if tx != nil {
		out.Transaction = s.add(tx)
	}
	return out, nil
}

func (s *Server) add(tx dispatch.Transaction) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := rand.Uint64() | 1
	s.open[number] = &openTransaction{tx: tx, lastUsed: s.cfg.Clock.Now()}
	return number
}

// Ask implements relaypb.Relay.
func (s *Server) Ask(ctx context.Context, in *relaypb.AskRequest) (*relaypb.AskReply, error) {
	id := target.ID(in.GetTarget())
	cmd, known := lane.DecodeCommand(in.GetKind(), in.GetTerm())
	if !known || !s.cfg.Serves(id) {
		return &relaypb.AskReply{Failure: declined}, nil
	}
	rows, age, err := s.command(ctx, id, cmd, in)
	var refused *lane.RefusedError
	switch {
	case errors.As(err, &refused):
		return &relaypb.AskReply{RefusedCode: uint32(refused.Code)}, nil
	case err != nil:
		return &relaypb.AskReply{Failure: failureOf(err)}, nil
	default:
		return &relaypb.AskReply{Rows: rows, AgeUs: uint64(micros(age)), BrokenUs: s.sinceBreak(id)}, nil
	}
}

// sinceBreak returns the time since a connection to a target last broke, as a reply carries it.
func (s *Server) sinceBreak(id target.ID) uint64 {
	at := s.cfg.BrokenAt(id)
	if at == 0 {
		return 0
	}
	return uint64(max(micros(s.cfg.Clock.Now().Sub(at)), 0)) + 1
}

func (s *Server) command(ctx context.Context, id target.ID, cmd lane.Command, in *relaypb.AskRequest) ([]string, time.Duration, error) {
	timeout := duration(in.GetTimeoutUs())
	if cmd == lane.StatusCommand {
		return s.cfg.Statuses.Recent(ctx, id, duration(int64(in.GetMaxAgeUs())), timeout)
	}
	// A command that has waited longer is not answered any more, and its sender's authority may have ended.
	received := s.cfg.Clock.Now()
	ctx = lane.WithExpiry(ctx, func() bool { return s.cfg.Clock.Now().Sub(received) >= timeout })
	rows, err := s.cfg.Control.Control(ctx, id, cmd, timeout)
	return rows, 0, err
}

// End implements relaypb.Relay.
func (s *Server) End(_ context.Context, in *relaypb.EndRequest) (*relaypb.EndReply, error) {
	h := s.detach(in.GetTransaction())
	switch {
	case h == nil:
	case in.GetDiscard():
		h.tx.Discard()
	default:
		h.tx.Abandon()
	}
	return &relaypb.EndReply{}, nil
}

// detach removes an open transaction and returns it. It returns nil while a statement of the
// transaction still runs: the end of that statement then ends the transaction.
func (s *Server) detach(number uint64) *openTransaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[number]
	delete(s.open, number)
	if h != nil && h.busy {
		h.abandoned = true
		return nil
	}
	return h
}

// Sweep rolls back the transactions that other VMs left open. A VM ends those transactions of its
// consumers that are idle for too long, so that one that stays idle longer belongs to a VM that no
// longer runs. Sweep must be called periodically.
func (s *Server) Sweep() {
	now, idle := s.cfg.Clock.Now(), s.cfg.Idle()
	s.mu.Lock()
	var abandoned []*openTransaction
	for number, h := range s.open {
		if !h.busy && now.Sub(h.lastUsed) > idle {
			abandoned = append(abandoned, h)
			delete(s.open, number)
		}
	}
	s.mu.Unlock()
	for _, h := range abandoned {
		s.cfg.Log.Info("relayed-transaction-left", zap.String("target", string(h.tx.Target())))
		h.tx.Abandon()
	}
}

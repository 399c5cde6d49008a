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
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// ServerConfig of a Server.
type ServerConfig struct {
	// Local runs the statements; Asker carries orders, and Statuses questions.
	Local    dispatch.Runner
	Asker    Controller
	Statuses *Statuses
	Groups   *groups.Registry
	Clock    clock.Clock
	Log      *zap.Logger
	// Serves reports whether new work for a target is taken.
	Serves func(id target.ID) bool
	// Idle is how long a transaction may stay without a statement.
	Idle func() time.Duration
	// Draw takes tokens of the part of a workspace's limit that this VM owns.
	Draw func(workspace string, want int) (tokens int, comeBack time.Duration)
}

// Server runs other VMs' statements over this VM's own connections. It is safe
// for concurrent use.
type Server struct {
	cfg ServerConfig

	mu   sync.Mutex
	open map[uint64]*held
}

// held is a transaction that is open for another VM. All but tx is guarded by
// the Server's lock.
type held struct {
	tx dispatch.Transaction
	// used is when its last statement ended.
	used clock.Time
	// busy is set while a statement runs.
	busy bool
	// left is set if its VM has ended it meanwhile.
	left bool
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg, open: make(map[uint64]*held)} }

// Handler returns the Server's HTTP face and the path that leads to it.
func (s *Server) Handler() (path string, h http.Handler) {
	twirp := relaypb.NewRelayServer(s)
	return twirp.PathPrefix(), terse.Handler(twirp)
}

// Count is how many transactions are open for other VMs.
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
	s.renew(in.GetClaim().GetService(), id)
	r, err := s.cfg.Local.Run(ctx, id, claim(in.GetClaim(), s.cfg.Clock.Now()), job(in))
	return s.reply(id, in, r, err), nil
}

func (s *Server) reply(id target.ID, in *relaypb.RunRequest, r *dispatch.Result, err error) *relaypb.RunReply {
	out := &relaypb.RunReply{Load: s.load(id), Evidence: s.evidence(in.GetClaim().GetService(), in.GetProofAgeUs())}
	if err != nil {
		out.Failure = failureOf(err)
		return out
	}
	out.Answer, out.TookUs = answerOf(r.Answer), micros(r.Took)
	return out
}

func (s *Server) load(id target.ID) int32 {
	l := s.cfg.Local.Load(id)
	return int32(l.InUse + l.Queued)
}

// runInTransaction runs a statement of an open transaction, and forgets the
// transaction once it has ended.
func (s *Server) runInTransaction(ctx context.Context, in *relaypb.RunRequest) (*relaypb.RunReply, error) {
	h := s.take(in.GetTransaction())
	if h == nil {
		return &relaypb.RunReply{Failure: &relaypb.Failure{Kind: relaypb.Failure_UNREADY, Text: "the transaction is not open here"}}, nil
	}
	s.renew(in.GetClaim().GetService(), h.tx.Target())
	r, err := h.tx.Run(ctx, claim(in.GetClaim(), s.cfg.Clock.Now()).Order, job(in))
	switch {
	case err != nil:
		s.forget(in.GetTransaction())
		h.tx.Discard()
	case r.Answer.State == statement.Idle:
		s.forget(in.GetTransaction())
		h.tx.Release()
	case s.giveBack(h):
		h.tx.Abandon()
	}
	return s.reply(h.tx.Target(), in, r, err), nil
}

// take returns an open transaction for one statement; nil if it is not open.
func (s *Server) take(number uint64) *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[number]
	if h == nil || h.busy {
		return nil
	}
	h.busy = true
	return h
}

// giveBack ends a statement, and reports whether the transaction was left while
// it ran.
func (s *Server) giveBack(h *held) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.busy, h.used = false, s.cfg.Clock.Now()
	return h.left
}

func (s *Server) forget(number uint64) {
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
	s.renew(service, id)
	o := &dispatch.Opening{Service: service, Values: values(in.GetValues())}
	o.Begin.ReadOnly, o.Begin.After = in.GetReadOnly(), position(in.GetAfter())
	tx, a, err := s.cfg.Local.Open(ctx, id, claim(in.GetClaim(), s.cfg.Clock.Now()), o)
	if err != nil {
		return &relaypb.OpenReply{Failure: failureOf(err), Load: s.load(id)}, nil
	}
	out := &relaypb.OpenReply{Answer: answerOf(a), Load: s.load(id), Evidence: s.evidence(service, in.GetProofAgeUs())}
	if tx != nil {
		out.Transaction = s.keep(tx)
	}
	return out, nil
}

func (s *Server) keep(tx dispatch.Transaction) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := rand.Uint64() | 1
	s.open[number] = &held{tx: tx, used: s.cfg.Clock.Now()}
	return number
}

// Ask implements relaypb.Relay.
func (s *Server) Ask(ctx context.Context, in *relaypb.AskRequest) (*relaypb.AskReply, error) {
	id := target.ID(in.GetTarget())
	ask, known := lane.DecodeCommand(in.GetKind(), in.GetTerm())
	if !known || !s.cfg.Serves(id) {
		return &relaypb.AskReply{Failure: declined}, nil
	}
	rows, age, err := s.ask(ctx, id, ask, in)
	var refused *lane.RefusedError
	switch {
	case errors.As(err, &refused):
		return &relaypb.AskReply{RefusedCode: uint32(refused.Code)}, nil
	case err != nil:
		return &relaypb.AskReply{Failure: failureOf(err)}, nil
	default:
		return &relaypb.AskReply{Rows: rows, AgeUs: uint64(micros(age))}, nil
	}
}

func (s *Server) ask(ctx context.Context, id target.ID, ask lane.Command, in *relaypb.AskRequest) ([]string, time.Duration, error) {
	timeout := duration(in.GetTimeoutUs())
	if ask == lane.StatusCommand {
		return s.cfg.Statuses.Recent(ctx, id, duration(int64(in.GetMaxAgeUs())), timeout)
	}
	rows, err := s.cfg.Asker.Control(ctx, id, ask, timeout)
	return rows, 0, err
}

// Draw implements relaypb.Relay.
func (s *Server) Draw(_ context.Context, in *relaypb.DrawRequest) (*relaypb.DrawReply, error) {
	tokens, comeBack := s.cfg.Draw(in.GetWorkspace(), int(in.GetWant()))
	return &relaypb.DrawReply{Tokens: uint32(tokens), ComeBackUs: micros(comeBack)}, nil
}

// End implements relaypb.Relay.
func (s *Server) End(_ context.Context, in *relaypb.EndRequest) (*relaypb.EndReply, error) {
	h := s.leave(in.GetTransaction())
	switch {
	case h == nil:
	case in.GetDiscard():
		h.tx.Discard()
	default:
		h.tx.Abandon()
	}
	return &relaypb.EndReply{}, nil
}

// leave forgets an open transaction and returns it, unless a statement of it
// still runs: that one's end is then the transaction's.
func (s *Server) leave(number uint64) *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[number]
	delete(s.open, number)
	if h != nil && h.busy {
		h.left = true
		return nil
	}
	return h
}

// Sweep rolls back the transactions that were left open: their VM ends those of
// its consumers that are idle for too long, so that one which lasts longer has no
// VM any more. It is due every now and then.
func (s *Server) Sweep() {
	now, idle := s.cfg.Clock.Now(), s.cfg.Idle()
	s.mu.Lock()
	var left []*held
	for number, h := range s.open {
		if !h.busy && now.Sub(h.used) > idle {
			left = append(left, h)
			delete(s.open, number)
		}
	}
	s.mu.Unlock()
	for _, h := range left {
		s.cfg.Log.Info("relayed-transaction-left", zap.String("target", string(h.tx.Target())))
		h.tx.Abandon()
	}
}

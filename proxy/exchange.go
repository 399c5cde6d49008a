package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/pool"
)

const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// show selects the part of a step's answer that is forwarded to the caller.
type show uint8

const (
	// showAll forwards all messages except ReadyForQuery.
	showAll show = iota
	// showRows forwards the messages that answer a simple query.
	showRows
	// showErrors forwards errors only.
	showErrors
	// showNothing hides errors, too: the step is internal to the proxy.
	showNothing
)

// step is one message to the target and the handling of its answer.
type step struct {
	msg  pgproto3.FrontendMessage
	show show
	// onMessage is called with each message of the answer, which is valid during the call only.
	onMessage func(m pgproto3.BackendMessage)
}

// exchange sends steps to a target and processes their answers in order. The protocol defines which
// messages may answer each one, and after an error the target sends nothing until the ReadyForQuery
// of the next Sync. Every message is therefore matched to its step, and a stray one is an error
// instead of a row in another caller's result.
type exchange struct {
	lease *pool.Lease
	steps []step
	size  int
	// reset sends the connection's reset after the steps. Its answer is not read here.
	reset bool
	put   func(m pgproto3.BackendMessage) error

	// current is the index of the step whose answer is being read.
	current int
	// failedAt is the index of the first step that was answered by an error, or -1.
	failedAt int
	failure  *pgproto3.ErrorResponse
	// tags are the command tags of visible steps.
	tags []string
	// status is the transaction status after the last visible Sync or Query.
	status   byte
	skipping bool
	// allowStray accepts stray messages; see GuardStray.
	allowStray bool
}

var (
	errStray = errors.New("target sent an answer that nothing asked for")
	errCopy  = errors.New("target began a COPY")
)

func newExchange(l *pool.Lease, put func(pgproto3.BackendMessage) error) *exchange {
	return &exchange{lease: l, put: put, failedAt: -1}
}

func (x *exchange) add(s step) { x.steps = append(x.steps, s) }

// concurrentWriteBytes is the size from which a batch is written while its answers are read. With a
// large batch written first, each side could wait for the other to read.
const concurrentWriteBytes = 32 << 10

// run sends all steps and reads all answers.
func (x *exchange) run() error {
	for i := range x.steps {
		if err := x.lease.Send(x.steps[i].msg); err != nil {
			return err
		}
	}
	if x.reset {
		if err := x.lease.SendReset(); err != nil {
			return err
		}
	}
	if x.size < concurrentWriteBytes {
		if err := x.lease.Flush(); err != nil {
			return err
		}
		return x.readAll()
	}
	return x.writeConcurrently()
}

func (x *exchange) writeConcurrently() error {
	written := make(chan error, 1)
	go func() { written <- x.lease.Flush() }()
	err := x.readAll()
	if err != nil {
		// The writing goroutine returns when the connection ends or at the deadline.
		x.lease.Discard()
	}
	werr := <-written
	if err == nil {
		err = werr
	}
	return err
}

func (x *exchange) readAll() error {
	x.skipUnanswered()
	for x.current < len(x.steps) {
		m, err := x.lease.Receive()
		if err != nil {
			return err
		}
		if err := x.handleMessage(m); err != nil {
			return err
		}
		x.skipUnanswered()
	}
	return nil
}

// skipUnanswered advances past steps that get no answer: Flush, and after an error all steps before
// the next Sync.
func (x *exchange) skipUnanswered() {
	for x.current < len(x.steps) {
		_, isFlush := x.steps[x.current].msg.(*pgproto3.Flush)
		if !isFlush && !(x.skipping && !endsBatch(x.steps[x.current].msg)) {
			return
		}
		x.current++
	}
}

func endsBatch(m pgproto3.FrontendMessage) bool {
	_, ok := m.(*pgproto3.Sync)
	return ok
}

func (x *exchange) handleMessage(m pgproto3.BackendMessage) error {
	st := &x.steps[x.current]
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.NoticeResponse:
		return x.forward(st, m, st.show <= showRows)
	case *pgproto3.ErrorResponse:
		return x.handleError(st, m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errCopy
	case *pgproto3.ReadyForQuery:
		return x.handleReady(st, m)
	}
	if !mayAnswer(st.msg, m) && !x.allowStray {
		return errStray
	}
	if c, ok := m.(*pgproto3.CommandComplete); ok && st.show <= showRows {
		x.tags = append(x.tags, string(c.CommandTag))
	}
	if err := x.forward(st, m, visible(st.show, m)); err != nil {
		return err
	}
	if completes(st.msg, m) {
		x.current++
	}
	return nil
}

func (x *exchange) forward(st *step, m pgproto3.BackendMessage, seen bool) error {
	if st.onMessage != nil {
		st.onMessage(m)
	}
	if !seen {
		return nil
	}
	return x.put(m)
}

func (x *exchange) handleError(st *step, m *pgproto3.ErrorResponse) error {
	if m.Severity == severityFatal || m.SeverityUnlocalized == severityFatal {
		return errors.Errorf("target ended the connection: %s (%s)", m.Message, m.Code)
	}
	if x.failedAt < 0 && st.show != showNothing {
		failure := *m
		x.failedAt, x.failure = x.current, &failure
	}
	if _, simple := st.msg.(*pgproto3.Query); !simple && !endsBatch(st.msg) {
		x.skipping = true
	}
	return x.forward(st, m, st.show != showNothing)
}

func (x *exchange) handleReady(st *step, m *pgproto3.ReadyForQuery) error {
	switch st.msg.(type) {
	case *pgproto3.Sync, *pgproto3.Query:
	default:
		return errStray
	}
	if st.show != showNothing {
		x.status = m.TxStatus
	}
	if st.onMessage != nil {
		st.onMessage(m)
	}
	x.skipping = false
	x.current++
	return nil
}

// mayAnswer reports whether m may be part of the answer to sent.
func mayAnswer(sent pgproto3.FrontendMessage, m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		_, ok := sent.(*pgproto3.Parse)
		return ok
	case *pgproto3.BindComplete:
		_, ok := sent.(*pgproto3.Bind)
		return ok
	case *pgproto3.CloseComplete:
		_, ok := sent.(*pgproto3.Close)
		return ok
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		_, ok := sent.(*pgproto3.Describe)
		return ok
	case *pgproto3.RowDescription:
		return isQuery(sent) || isDescribe(sent)
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return isQuery(sent) || isExecute(sent)
	case *pgproto3.PortalSuspended:
		return isExecute(sent)
	}
	return false
}

func isQuery(m pgproto3.FrontendMessage) bool    { _, ok := m.(*pgproto3.Query); return ok }
func isExecute(m pgproto3.FrontendMessage) bool  { _, ok := m.(*pgproto3.Execute); return ok }
func isDescribe(m pgproto3.FrontendMessage) bool { _, ok := m.(*pgproto3.Describe); return ok }

// completes reports whether m is the last message of the answer to sent.
func completes(sent pgproto3.FrontendMessage, m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.NoData, *pgproto3.PortalSuspended:
		return true
	case *pgproto3.RowDescription:
		return isDescribe(sent)
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return isExecute(sent)
	}
	return false
}

// visible reports whether m is forwarded to the caller.
func visible(s show, m pgproto3.BackendMessage) bool {
	switch s {
	case showAll:
		return true
	case showRows:
		switch m.(type) {
		case *pgproto3.RowDescription, *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
			return true
		}
	}
	return false
}

package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Dialer opens a control connection to the server id at addr (ip:port).
type Dialer func(ctx context.Context, id target.ID, addr string) (target.Database, error)

// Answer is the reply to a status query with its send and receive times.
type Answer struct {
	Status target.Status
	// Asked is when the query was sent: the status is not older than this.
	Asked clock.Time
	// Answered is when the reply was received, or the query failed.
	Answered clock.Time
}

// Listener is called with the result of every status query, so that its evidence is shared.
// answer.Status is zero if err is set.
type Listener func(id target.ID, answer Answer, err error)

// Link is the control connection to one server. It is safe for use by many
// goroutines.
type Link struct {
	id       target.ID
	addr     string
	dial     Dialer
	clk      clock.Clock
	timeout  time.Duration
	listener Listener

	// connMu serializes the use of db.
	connMu sync.Mutex
	db     target.Database

	// queryMu guards next and querying.
	queryMu  sync.Mutex
	next     *statusQuery
	querying bool
}

// statusQuery is one status round trip that any number of callers wait for.
type statusQuery struct {
	done   chan struct{}
	answer Answer
	err    error
}

// NewLink returns a link that connects on first use. timeout limits each call.
func NewLink(id target.ID, addr string, dial Dialer, clk clock.Clock, timeout time.Duration, listener Listener) *Link {
	return &Link{id: id, addr: addr, dial: dial, clk: clk, timeout: timeout, listener: listener}
}

// Status returns a status that was queried after the call began.
func (l *Link) Status(ctx context.Context) (Answer, error) {
	q := l.joinNext()
	select {
	case <-q.done:
		return q.answer, q.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// joinNext returns the next query, which has not been sent yet, and starts run if it is not
// running.
func (l *Link) joinNext() *statusQuery {
	l.queryMu.Lock()
	defer l.queryMu.Unlock()
	if l.next == nil {
		l.next = &statusQuery{done: make(chan struct{})}
	}
	if !l.querying {
		l.querying = true
		go l.run()
	}
	return l.next
}

// run sends queries until no caller waits for one.
func (l *Link) run() {
	for {
		q := l.takeNext()
		if q == nil {
			return
		}
		q.answer, q.err = l.queryStatus()
		if l.listener != nil {
			l.listener(l.id, q.answer, q.err)
		}
		close(q.done)
	}
}

func (l *Link) takeNext() *statusQuery {
	l.queryMu.Lock()
	defer l.queryMu.Unlock()
	q := l.next
	l.next = nil
	l.querying = q != nil
	return q
}

func (l *Link) queryStatus() (Answer, error) {
	var a Answer
	err := l.with(func(ctx context.Context, db target.Database) error {
		a.Asked = l.clk.Now()
		st, err := db.Status(ctx)
		a.Answered = l.clk.Now()
		a.Status = st
		return err
	})
	if err != nil {
		return Answer{Asked: a.Asked, Answered: l.clk.Now()}, err
	}
	return a, nil
}

// Fence commands the server to promise term.
func (l *Link) Fence(term timeline.Term) (st target.Status, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		st, err = db.Fence(ctx, term)
		return err
	})
	return st, err
}

// Promote commands the server to become primary of term.
func (l *Link) Promote(term timeline.Term) (st target.Status, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		st, err = db.Promote(ctx, term)
		return err
	})
	return st, err
}

// Follow commands the server to replicate from primary (ip:port) in term, and returns the entries
// that the server discarded.
func (l *Link) Follow(primary string, term timeline.Term) (discarded []target.Entry, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		discarded, err = db.Follow(ctx, primary, term)
		return err
	})
	return discarded, err
}

// with runs f on the connection within the timeout. It closes the connection on an error other
// than a refusal by the server, so that a late reply to a call that timed out is not read as the
// reply to the next call.
func (l *Link) with(f func(context.Context, target.Database) error) error {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	if l.db == nil {
		db, err := l.dial(ctx, l.id, l.addr)
		if err != nil {
			return errors.Wrapf(err, "open control connection to server %s", l.id)
		}
		l.db = db
	}
	err := f(ctx, l.db)
	if err != nil && !isRefusal(err) {
		l.drop()
	}
	return err
}

func isRefusal(err error) bool {
	var fenced *target.FencedError
	return errors.As(err, &fenced)
}

func (l *Link) drop() {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	_ = l.db.Close(ctx)
	l.db = nil
}

// Close closes the connection.
func (l *Link) Close() {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	if l.db != nil {
		l.drop()
	}
}

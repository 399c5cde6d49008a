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

// Answer is a status with the instants that it lies between.
type Answer struct {
	Status target.Status
	// Asked is when the ask was sent: the status is not older than that.
	Asked clock.Time
	// Answered is when it came back.
	Answered clock.Time
}

// Listener is told of every ask, so that evidence is shared. answer.Status is
// zero when err is set.
type Listener func(id target.ID, answer Answer, err error)

// Link is the control connection to one server. It is safe for use by many
// goroutines.
type Link struct {
	id      target.ID
	addr    string
	dial    Dialer
	clk     clock.Clock
	timeout time.Duration
	listen  Listener

	// connMu serialises the use of db.
	connMu sync.Mutex
	db     target.Database

	// askMu guards next and asking.
	askMu  sync.Mutex
	next   *ask
	asking bool
}

// ask is one status round trip that any number of callers wait for.
type ask struct {
	done   chan struct{}
	answer Answer
	err    error
}

// NewLink returns a link that dials on first use. timeout bounds each call.
func NewLink(id target.ID, addr string, dial Dialer, clk clock.Clock, timeout time.Duration, listen Listener) *Link {
	return &Link{id: id, addr: addr, dial: dial, clk: clk, timeout: timeout, listen: listen}
}

// Status returns an account that was asked for after the call began.
func (l *Link) Status(ctx context.Context) (Answer, error) {
	a := l.join()
	select {
	case <-a.done:
		return a.answer, a.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// join returns the next ask that has not been sent yet, and sees that it is.
func (l *Link) join() *ask {
	l.askMu.Lock()
	defer l.askMu.Unlock()
	if l.next == nil {
		l.next = &ask{done: make(chan struct{})}
	}
	if !l.asking {
		l.asking = true
		go l.run()
	}
	return l.next
}

// run sends asks until nobody waits for one.
func (l *Link) run() {
	for {
		a := l.take()
		if a == nil {
			return
		}
		a.answer, a.err = l.askStatus()
		if l.listen != nil {
			l.listen(l.id, a.answer, a.err)
		}
		close(a.done)
	}
}

func (l *Link) take() *ask {
	l.askMu.Lock()
	defer l.askMu.Unlock()
	a := l.next
	l.next = nil
	l.asking = a != nil
	return a
}

func (l *Link) askStatus() (Answer, error) {
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

// Fence orders the server to promise term.
func (l *Link) Fence(term timeline.Term) (st target.Status, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		st, err = db.Fence(ctx, term)
		return err
	})
	return st, err
}

// Promote orders the server to lead term.
func (l *Link) Promote(term timeline.Term) (st target.Status, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		st, err = db.Promote(ctx, term)
		return err
	})
	return st, err
}

// Follow orders the server to replicate from primary (ip:port) in term.
func (l *Link) Follow(primary string, term timeline.Term) (es []target.Entry, err error) {
	err = l.with(func(ctx context.Context, db target.Database) error {
		es, err = db.Follow(ctx, primary, term)
		return err
	})
	return es, err
}

// with runs f on the connection within the timeout, and drops the connection
// on an error that is not the server's own refusal: a late answer to a call
// that was given up must not be read as the answer to the next one.
func (l *Link) with(f func(context.Context, target.Database) error) error {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	if l.db == nil {
		db, err := l.dial(ctx, l.id, l.addr)
		if err != nil {
			return errors.Wrapf(err, "control connection to %s", l.id)
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

// Close ends the connection.
func (l *Link) Close() {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	if l.db != nil {
		l.drop()
	}
}

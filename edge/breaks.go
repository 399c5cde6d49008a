package edge

import (
	"maps"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// targetBreaks records when connections to targets last broke. The restart of a target breaks all of
// them, and a VM that is cut off from the store sees no other sign of it.
type targetBreaks struct {
	mu sync.Mutex
	at map[target.ID]clock.Time
}

func newTargetBreaks() *targetBreaks { return &targetBreaks{at: make(map[target.ID]clock.Time)} }

// record records a break at a time. Targets that have left the catalog are forgotten now and then.
func (b *targetBreaks) record(id target.ID, at clock.Time, c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at[id] = max(b.at[id], at)
	if len(b.at) > 2*len(c.Targets) {
		maps.DeleteFunc(b.at, func(id target.ID, _ clock.Time) bool { return c.Targets[id] == nil })
	}
}

func (b *targetBreaks) last(id target.ID) clock.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at[id]
}

// brokenAt returns when a connection to a target last broke: one of this VM, or of a gateway that told of it.
// A gateway tells of its own only: told on and on, a break would seem later and later.
func (e *Edge) brokenAt(id target.ID) clock.Time {
	return max(e.breaks.last(id), e.gatewayBreaks.last(id))
}

// recordsConfirmedAt returns the time as of which this VM's leadership records are known to be
// complete.
func (e *Edge) recordsConfirmedAt() clock.Time {
	return e.recency.Newest(recency.Fleet, versionOf(e.catalog.Load(), recency.Fleet)).At
}

// targetsConfirmedAt is recordsConfirmedAt for the list of targets.
func (e *Edge) targetsConfirmedAt() clock.Time {
	return e.recency.Newest(recency.Targets, versionOf(e.catalog.Load(), recency.Targets)).At
}

// observedLink reports the break of a connection to a target.
type observedLink struct {
	lane.Link
	broken func()
}

func (l observedLink) Alive() bool {
	alive := l.Link.Alive()
	if !alive {
		l.broken()
	}
	return alive
}

func (l observedLink) Receive(timeout time.Duration) (*statement.Answer, error) {
	a, err := l.Link.Receive(timeout)
	if err != nil && !isTimeout(err) && !errors.Is(err, net.ErrClosed) {
		l.broken()
	}
	return a, err
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Package returning keeps the callers that a VM has refused, so that one who returns is due from
// its first try.
//
// The load: for seconds more is asked of a service than all its targets can do. Refused callers
// return at other VMs as new requests. Taken for new ones they are late by the time of their first
// try, in slots of requests that could have been in time.
//
// A Book holds the refused callers of one service, those refused here and those that other VMs have
// told of. A caller is a hash of who asks what. The package is pure: the current time is passed in,
// and what passes between VMs are ages.
package returning

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// MaxAge is the age from which a caller is forgotten: it has left.
const MaxAge = 10 * time.Second

const (
	// maxCallers bounds the callers in a Book; the one that was added first is dropped.
	maxCallers = 4096
	// maxOfCaller bounds the entries of one hash.
	maxOfCaller = 8
	// maxUntold bounds the callers that other VMs have still to be told of.
	maxUntold = 512
	// sameTry is the largest difference between two times of one first try that reached this VM on
	// different ways.
	sameTry = 50 * time.Millisecond
)

// Refused is a refused caller.
type Refused struct {
	// Caller is a hash of who asks what.
	Caller uint64
	// First is the time of the caller's first try.
	First clock.Time
}

// Book holds the refused callers of one service. The zero value is ready to use. It is safe for
// concurrent use.
type Book struct {
	mu       sync.Mutex
	order    list.List // of Refused, in the order in which they were added
	byCaller map[uint64][]*list.Element
	untold   []Refused
}

// Refuse adds a caller that this VM has refused.
func (b *Book) Refuse(r Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r)
	if len(b.untold) < maxUntold {
		b.untold = append(b.untold, r)
	}
}

// Keep adds a caller that other VMs know of, or need not know of.
func (b *Book) Keep(r Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r)
}

// add adds a caller unless it is in the book. Its tries at several targets may all be refused.
func (b *Book) add(r Refused) {
	if r.Caller == 0 || b.indexOfTry(r) >= 0 || len(b.byCaller[r.Caller]) >= maxOfCaller {
		return
	}
	if b.byCaller == nil {
		b.byCaller = make(map[uint64][]*list.Element)
	}
	b.byCaller[r.Caller] = append(b.byCaller[r.Caller], b.order.PushBack(r))
	if b.order.Len() > maxCallers {
		b.removeFront()
	}
}

// Take removes the entry of a caller whose request arrived first at the given time, and returns the
// time of the caller's first try. This is the request's own arrival unless the caller returns: a
// request that is tried at several targets returns nothing of its own.
//
// An entry is used once here. Entries older than maxAge are dropped: their callers have left.
func (b *Book) Take(now clock.Time, caller uint64, arrived clock.Time, maxAge time.Duration) (first clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.byCaller[caller]) - 1; i >= 0; i-- {
		if now.Sub(b.first(caller, i)) > maxAge {
			b.remove(caller, i)
		}
	}
	at := b.indexOfTry(Refused{caller, arrived})
	if at < 0 {
		at = slices.IndexFunc(b.byCaller[caller], func(e *list.Element) bool { return e.Value.(Refused).First.Before(arrived) })
	}
	if at < 0 {
		return arrived
	}
	first = b.first(caller, at)
	b.remove(caller, at)
	if arrived.Sub(first) < sameTry {
		return arrived
	}
	return first
}

// indexOfTry returns the index of the entry of a caller's first try; negative if there is none.
func (b *Book) indexOfTry(r Refused) int {
	return slices.IndexFunc(b.byCaller[r.Caller], func(e *list.Element) bool {
		return e.Value.(Refused).First.Sub(r.First).Abs() < sameTry
	})
}

// expire drops the callers that have left, up to the first one that has not.
func (b *Book) expire(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.order.Len() > 0 && now.Sub(b.order.Front().Value.(Refused).First) >= MaxAge {
		b.removeFront()
	}
	if b.order.Len() == 0 {
		b.byCaller = nil // a map does not shrink
	}
}

func (b *Book) removeFront() {
	e := b.order.Front()
	caller := e.Value.(Refused).Caller
	b.remove(caller, slices.Index(b.byCaller[caller], e))
}

func (b *Book) first(caller uint64, i int) clock.Time {
	return b.byCaller[caller][i].Value.(Refused).First
}

func (b *Book) remove(caller uint64, i int) {
	all := b.byCaller[caller]
	b.order.Remove(all[i])
	if all = slices.Delete(all, i, i+1); len(all) == 0 {
		delete(b.byCaller, caller)
		return
	}
	b.byCaller[caller] = all
}

// Len returns the number of callers in the book.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.order.Len()
}

// Untold returns the callers that other VMs have still to be told of, and forgets them.
func (b *Book) Untold() []Refused {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.untold
	b.untold = nil
	return out
}

// Books holds the Book of each service. The zero value is ready to use. It is safe for concurrent
// use.
type Books struct {
	mu   sync.Mutex
	book map[string]*Book
}

// Book returns the Book of a service, and creates it.
func (b *Books) Book(service string) *Book {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.book == nil {
		b.book = make(map[string]*Book)
	}
	if b.book[service] == nil {
		b.book[service] = &Book{}
	}
	return b.book[service]
}

// Told adds callers of a service that another VM has refused, with their ages. It does nothing if this
// VM uses no target of the service, or if a message has more than a VM sends.
func (b *Books) Told(now clock.Time, service string, callers []uint64, ages []time.Duration) {
	b.mu.Lock()
	book := b.book[service]
	b.mu.Unlock()
	if book == nil || len(callers) != len(ages) || len(callers) > maxUntold {
		return
	}
	for i, caller := range callers {
		if ages[i] >= 0 && ages[i] < MaxAge {
			book.Keep(Refused{caller, now.Add(-ages[i])})
		}
	}
}

// Expire drops the callers that have left.
func (b *Books) Expire(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, book := range b.book {
		book.expire(now)
	}
}

// Retain drops the Books of the services for which has returns false.
func (b *Books) Retain(has func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.book, func(service string, _ *Book) bool { return !has(service) })
}

// Untold returns the callers that other VMs have still to be told of, by service.
func (b *Books) Untold() map[string][]Refused {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out map[string][]Refused
	for service, book := range b.book {
		if refused := book.Untold(); len(refused) > 0 {
			if out == nil {
				out = make(map[string][]Refused)
			}
			out[service] = refused
		}
	}
	return out
}

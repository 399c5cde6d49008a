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
	// maxSeen bounds the hashes of requests that are remembered to find the ambiguous ones.
	maxSeen = 1024
	// maxUntold bounds the callers of each kind that other VMs have still to be told of.
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

// News is what other VMs have still to be told of.
type News struct {
	// Refused are callers that this VM has refused, and Returned those whose entries it has used.
	Refused, Returned []Refused
}

// Book holds the refused callers of one service. The zero value is ready to use. It is safe for
// concurrent use.
type Book struct {
	mu       sync.Mutex
	order    list.List // of Refused, in the order in which they were added
	byCaller map[uint64][]*list.Element
	seen     []sighting // by hash; nil until the first request
	untold   News
}

// sighting is when a hash was last seen from a request that was no return, and until when it is
// ambiguous, because it was seen from two.
type sighting struct {
	caller      uint64
	last, until clock.Time
}

// Refuse adds a caller that this VM has refused, or not served at one target.
func (b *Book) Refuse(r Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r)
	move(r, &b.untold.Returned, &b.untold.Refused)
}

// Told adds a caller that another VM has refused.
func (b *Book) Told(r Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r)
}

// Returned removes a caller who has returned at another VM.
func (b *Book) Returned(r Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.indexOfTry(r); at >= 0 {
		b.remove(r.Caller, at)
	}
}

// move removes a try from one list and adds it to the other one.
func move(r Refused, from, to *[]Refused) {
	*from = slices.DeleteFunc(*from, r.isSameTry)
	if len(*to) < maxUntold && !slices.ContainsFunc(*to, r.isSameTry) {
		*to = append(*to, r)
	}
}

func (r Refused) isSameTry(o Refused) bool {
	return r.Caller == o.Caller && r.First.Sub(o.First).Abs() < sameTry
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
// An entry is used once. A hash that several requests have that are no returns says nothing of who
// returns: they count as new. Entries older than maxAge are dropped: their callers have left.
func (b *Book) Take(now clock.Time, caller uint64, arrived clock.Time, maxAge time.Duration) (first clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.byCaller[caller]) - 1; i >= 0; i-- {
		if now.Sub(b.first(caller, i)) > maxAge {
			b.remove(caller, i)
		}
	}
	if at := b.indexOfTry(Refused{caller, arrived}); at >= 0 {
		b.use(caller, at)
		b.see(now, caller, arrived, maxAge)
		return arrived
	}
	at := slices.IndexFunc(b.byCaller[caller], func(e *list.Element) bool { return e.Value.(Refused).First.Before(arrived) })
	if at < 0 || b.isAmbiguous(now, caller) {
		b.see(now, caller, arrived, maxAge)
		return arrived
	}
	first = b.first(caller, at)
	b.use(caller, at)
	return first
}

// use removes an entry, of which other VMs are told.
func (b *Book) use(caller uint64, at int) {
	move(Refused{caller, b.first(caller, at)}, &b.untold.Refused, &b.untold.Returned)
	b.remove(caller, at)
}

// see records a request that is no return.
func (b *Book) see(now clock.Time, caller uint64, arrived clock.Time, window time.Duration) {
	if b.seen == nil {
		b.seen = make([]sighting, maxSeen)
	}
	s := &b.seen[caller>>1%maxSeen]
	if s.caller != caller {
		*s = sighting{caller: caller, last: arrived}
		return
	}
	apart := arrived.Sub(s.last).Abs()
	if apart < sameTry {
		return
	}
	if apart < window {
		s.until = now.Add(window)
	}
	s.last = arrived
}

func (b *Book) isAmbiguous(now clock.Time, caller uint64) bool {
	if b.seen == nil {
		return false
	}
	s := b.seen[caller>>1%maxSeen]
	return s.caller == caller && now.Before(s.until)
}

// indexOfTry returns the index of the entry of a caller's first try; negative if there is none.
func (b *Book) indexOfTry(r Refused) int {
	return slices.IndexFunc(b.byCaller[r.Caller], func(e *list.Element) bool { return r.isSameTry(e.Value.(Refused)) })
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

// Untold returns what other VMs have still to be told of, and forgets it.
func (b *Book) Untold() News {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.untold
	b.untold = News{}
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
	b.each(now, service, callers, ages, (*Book).Told)
}

// Returned removes callers of a service who have returned at another VM, as Told adds them.
func (b *Books) Returned(now clock.Time, service string, callers []uint64, ages []time.Duration) {
	b.each(now, service, callers, ages, (*Book).Returned)
}

func (b *Books) each(now clock.Time, service string, callers []uint64, ages []time.Duration, do func(*Book, Refused)) {
	b.mu.Lock()
	book := b.book[service]
	b.mu.Unlock()
	if book == nil || len(callers) != len(ages) || len(callers) > maxUntold {
		return
	}
	for i, caller := range callers {
		if ages[i] >= 0 && ages[i] < MaxAge {
			do(book, Refused{caller, now.Add(-ages[i])})
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

// Untold returns what other VMs have still to be told of, by service.
func (b *Books) Untold() map[string]News {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out map[string]News
	for service, book := range b.book {
		if news := book.Untold(); len(news.Refused)+len(news.Returned) > 0 {
			if out == nil {
				out = make(map[string]News)
			}
			out[service] = news
		}
	}
	return out
}

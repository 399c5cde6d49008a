// Package recency keeps the evidence that this VM's copies of the store's lists are
// up to date: for each list, as of which moment a copy is known to have been the
// store's.
//
// Evidence speaks of one list and of one version of it. A word about the fleet's list
// says nothing of the configuration, and a word about a version that this VM does not
// have says nothing of the one that it has. A VM that leaves it to others to watch the
// store goes by it.
//
// The package is pure, but for the lock that lets many goroutines use a Board.
package recency

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// List is one of the lists that a VM holds copies of.
type List uint8

// The lists.
const (
	// Config is the operator's configuration.
	Config List = iota
	// Targets is the list of targets.
	Targets
	// Fleet is the list of the fleet's VMs.
	Fleet
	lists
)

// Lists are all of them.
func Lists() []List { return []List{Config, Targets, Fleet} }

// String returns the name in logs and metrics.
func (l List) String() string { return [...]string{"config", "targets", "fleet"}[l] }

// Unknown is the age of a copy of which there is no evidence.
const Unknown = time.Hour

// Mark says that a copy was the store's at a moment.
type Mark struct {
	// Version is that of the copy: the configuration's own, or the store's revision
	// of another list.
	Version int64
	// Revision is the store's as of which the copy was complete; a watch may go on
	// from there. It is 0 if it is not known.
	Revision int64
	// At is the moment; 0 is that there is no evidence.
	At clock.Time
}

// Age is how long ago the copy was known to be the store's; Unknown if there is no
// evidence.
func (m Mark) Age(now clock.Time) time.Duration {
	if m.At == 0 {
		return Unknown
	}
	return now.Sub(m.At)
}

// Board keeps the marks of one VM. It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	marks [lists]marks
}

// marks are the newest evidence of one list.
type marks struct {
	// held speaks of a version that this VM has, or had.
	held Mark
	// heard speaks of one that it may not have yet.
	heard Mark
}

// Note takes over evidence, this VM's own or a peer's.
func (b *Board) Note(l List, m Mark) {
	if m.At == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := &b.marks[l]
	if m.Version <= k.held.Version && m.At > k.held.At {
		k.held = m
	}
	if m.At > k.heard.At {
		k.heard = m
	}
}

// Newest returns the evidence for a copy of a version; its moment is 0 if there is
// none.
func (b *Board) Newest(l List, version int64) Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := &b.marks[l]
	if k.heard.Version <= version && k.heard.At >= k.held.At {
		k.held = k.heard
	}
	return k.held
}

// Age is how long ago a copy of a version was known to be the store's.
func (b *Board) Age(l List, version int64, now clock.Time) time.Duration {
	return b.Newest(l, version).Age(now)
}

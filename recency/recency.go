// Package recency tracks how up to date this VM's copies of the store's lists are: for each list,
// the time at which a copy is known to have been equal to the store's.
//
// Evidence refers to one version of one list. Evidence for the fleet's list proves nothing about
// the configuration, and evidence for a version that this VM does not have proves nothing about its
// own copy. A VM suspends its watch of the store based on this evidence.
//
// Begin with Tracker. The package does no I/O and reads no clock; a lock makes a Tracker safe for
// concurrent use.
package recency

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// List identifies one of the lists that a VM holds copies of.
type List uint8

// The lists.
const (
	// Config is the operator's configuration.
	Config List = iota
	// Targets is the list of targets.
	Targets
	// Fleet is the list of the fleet's VMs.
	Fleet
	listCount
)

// Lists returns all lists.
func Lists() []List { return []List{Config, Targets, Fleet} }

// String returns the list's name in logs and metrics.
func (l List) String() string { return [...]string{"config", "targets", "fleet"}[l] }

// Unknown is the age of a copy without evidence.
const Unknown = time.Hour

// Confirmation records that a copy was equal to the store's at a time.
type Confirmation struct {
	// Version is the version of the copy: the configuration's own, or the store's revision for
	// another list.
	Version int64
	// Revision is the store's revision as of which the copy was complete; a watch may resume from
	// it. It is 0 if unknown.
	Revision int64
	// At is the time of the confirmation; 0 if there is no evidence.
	At clock.Time
}

// Age returns how long ago the copy was known to be equal to the store's; Unknown if there is no
// evidence.
func (m Confirmation) Age(now clock.Time) time.Duration {
	if m.At == 0 {
		return Unknown
	}
	return now.Sub(m.At)
}

// Tracker holds the newest confirmations of one VM's copies. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	byList [listCount]confirmations
}

// confirmations are the newest confirmations of one list.
type confirmations struct {
	// current is for a version that this VM has, or had.
	current Confirmation
	// newest is for a version that it may not have yet.
	newest Confirmation
}

// Record records a confirmation made by this VM or received from a peer.
func (t *Tracker) Record(l List, m Confirmation) {
	if m.At == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := &t.byList[l]
	if m.Version <= k.current.Version && m.At > k.current.At {
		k.current = m
	}
	if m.At > k.newest.At {
		k.newest = m
	}
}

// Newest returns the newest confirmation of a copy with the given version; its At is 0 if there is
// none.
func (t *Tracker) Newest(l List, version int64) Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := &t.byList[l]
	if k.newest.Version <= version && k.newest.At >= k.current.At {
		k.current = k.newest
	}
	return k.current
}

// Age returns how long ago a copy with the given version was known to be equal to the store's.
func (t *Tracker) Age(l List, version int64, now clock.Time) time.Duration {
	return t.Newest(l, version).Age(now)
}

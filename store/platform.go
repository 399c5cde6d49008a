// Package store is the client side of the platform's object API: versioned
// values, conditional updates, lists and watches, and the lagging list of VMs.
// It is the only place where anything of endivemoor lasts. Each call names its
// purpose, so that the fixed budget of calls can be seen and shared.
package store

import (
	"context"
	"time"
)

// Version numbers an object's updates within the store; 0 means "absent".
type Version int64

// Object is one stored value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	// Value is at most MaxValue bytes.
	Value []byte `json:"value"`
}

// MaxValue is the largest value the platform holds, in bytes.
const MaxValue = 1 << 20

// Purpose labels a call in the metric endivemoor_platform_calls_total.
type Purpose string

// Purposes of calls.
const (
	PurposeLease   Purpose = "lease"
	PurposeGroup   Purpose = "group"
	PurposeProfile Purpose = "profile"
	PurposeAudit   Purpose = "audit"
	PurposeDrain   Purpose = "drain"
	PurposeKey     Purpose = "key"
	PurposeVMs     Purpose = "vms"
	PurposeCommand Purpose = "command"
)

// VM is an entry of the platform's list. The list lags: a VM on it may be
// gone, and a new one may be missing.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Store is the object API. Errors are ErrNotFound, *ConflictError,
// ErrUnavailable (the call had no effect) or ErrNoAnswer (it may have had one).
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, p Purpose, key string) (Object, error)
	// List returns the objects whose key starts with prefix, in key order.
	List(ctx context.Context, p Purpose, prefix string) ([]Object, error)
	// Put writes value if the object's version is expect (0: absent), and
	// returns the new version. A lost answer is resolved by reading back.
	Put(ctx context.Context, p Purpose, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, p Purpose, key string, expect Version) error
	// Watch waits at most wait for a change below prefix after the store's
	// revision since, and returns the changed objects (Version 0: deleted) and
	// the revision to go on from. A revision of 0 returns the present objects.
	Watch(ctx context.Context, p Purpose, prefix string, since int64, wait time.Duration) ([]Object, int64, error)
	// VMs returns the platform's lagging list.
	VMs(ctx context.Context) ([]VM, error)
}

type storeError string

func (e storeError) Error() string { return string(e) }

const (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = storeError("object not found")
	// ErrUnavailable says that the store refused the call before any effect.
	ErrUnavailable = storeError("platform unavailable")
	// ErrNoAnswer says that no answer came: the change may have taken effect.
	ErrNoAnswer = storeError("no answer from the platform")
)

// ConflictError says that a conditional update lost: Current is the version
// that the object has.
type ConflictError struct {
	Key     string
	Current Version
}

// Error names the key.
func (e *ConflictError) Error() string { return "version conflict on " + e.Key }

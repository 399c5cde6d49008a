// Package store defines the interface Store to the platform's object API: versioned values,
// conditional updates, lists, watches, and the eventually consistent list of VMs. All persistent state
// of endivemoor is behind this interface. Each call names its purpose, by
// which the fixed budget of calls is divided and metrics count its use. Package store/client
// implements Store over HTTP.
package store

import (
	"context"
	"time"
)

// Version is the store's version number of an object; 0 means that the object does not exist.
type Version int64

// Object is a stored object.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	// Value is at most MaxValue bytes.
	Value []byte `json:"value"`
}

// MaxValue is the size of the largest value that the platform stores, in bytes.
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

// VM is an entry of the platform's list of VMs. The list lags: it may contain removed VMs and lack new
// ones.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving"`
}

// Store is the object API. Its errors are ErrNotFound, *ConflictError, ErrUnavailable (the call had no
// effect) and ErrNoAnswer (the call may have had an effect).
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, p Purpose, key string) (Object, error)
	// List returns the objects whose key starts with prefix, in key order.
	List(ctx context.Context, p Purpose, prefix string) ([]Object, error)
	// Put writes value if the object's version is expect (0: the object does not exist), and returns
	// the new version. Package store/readback resolves a lost answer.
	Put(ctx context.Context, p Purpose, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, p Purpose, key string, expect Version) error
	// Watch waits at most wait for a change below prefix after the store's revision since. It returns
	// the changed objects (Version 0: deleted) and the revision to pass to the next call. If since is
	// 0, it returns the current objects.
	Watch(ctx context.Context, p Purpose, prefix string, since int64, wait time.Duration) ([]Object, int64, error)
	// VMs returns the platform's list of VMs, which may be outdated.
	VMs(ctx context.Context) ([]VM, error)
}

type storeError string

func (e storeError) Error() string { return string(e) }

const (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = storeError("object not found")
	// ErrUnavailable reports that the call failed and had no effect.
	ErrUnavailable = storeError("platform unavailable")
	// ErrNoAnswer reports that the store did not answer, so that the change may have taken effect.
	ErrNoAnswer = storeError("no answer from the platform")
)

// ConflictError reports that a conditional update failed because the object has another version than
// expected. Current is that version, or 0 if it is not known or the object does not exist.
type ConflictError struct {
	Key     string
	Current Version
}

// Error names the key.
func (e *ConflictError) Error() string { return "version conflict on " + e.Key }

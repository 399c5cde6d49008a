// Package profile holds the typed form of what operators publish: named
// profiles that say how fresh a read must be, which requests are idempotent,
// how long a draining target keeps its work, and what each kind of request is
// worth. Values are immutable once published; parsing and checking live beside
// this file and in package profile/inifile.
package profile

import (
	"time"
)

// Access says where a kind of request may run.
type Access uint8

const (
	// Write goes to the primary. It is the zero value: what a profile does not
	// declare a read goes to the primary.
	Write Access = iota
	// Read may be served by a replica that is fresh enough.
	Read
)

// KeyPolicy says if a kind carries a request key.
type KeyPolicy uint8

const (
	// KeyOptional uses a key when the caller sends one.
	KeyOptional KeyPolicy = iota
	// KeyRequired refuses a request without a key.
	KeyRequired
)

// Durability is what must hold before a write is acknowledged.
type Durability uint8

const (
	// Confirmed waits until a replica that has not promised a later term holds
	// the write, so that no promotion can lose it.
	Confirmed Durability = iota
	// Witnessed waits until a replica says that it has not promised a later
	// term: the primary was not superseded. What was not yet replicated is lost
	// if the primary crashes, or is deposed because its replicas cannot reach it.
	Witnessed
)

// Kind is one sort of request within a profile.
type Kind struct {
	// Name is the caller's tag, such as "purchase".
	Name string
	// Access says whether replicas may serve it.
	Access Access
	// Worth weighs a request served in time against others; at least 0.
	Worth float64
	// Deadline is how long the caller waits for the answer.
	Deadline time.Duration
	// MaxAge is the greatest age of the data that a read accepts; zero asks
	// for what the primary holds.
	MaxAge time.Duration
	// Idempotent requests may be sent again by the proxy.
	Idempotent bool
	// Key says if a request key must be sent.
	Key KeyPolicy
	// Durability applies to writes.
	Durability Durability
}

// Profile is what a service picks by name.
type Profile struct {
	// Name is unique within a Set.
	Name string
	// DrainGrace is how long a draining target keeps the work it has.
	DrainGrace time.Duration
	// MaxQueued bounds the requests of this profile that wait on one proxy.
	MaxQueued int
	// MaxSessions bounds the callers' connections on one proxy.
	MaxSessions int
	// Kinds by name.
	Kinds map[string]*Kind
	// Default is used for requests that carry no tag.
	Default *Kind
}

// KindOf returns the named kind; an empty name gives the default, and an
// undeclared one nil.
func (p *Profile) KindOf(name string) *Kind {
	if name == "" {
		return p.Default
	}
	return p.Kinds[name]
}

// Generation numbers published sets. It only grows.
type Generation uint64

// Set is all profiles of one generation. It is immutable.
type Set struct {
	Generation Generation
	Profiles   map[string]*Profile
	// Digest is the hex SHA-256 of the published text.
	Digest string
}

// Profile returns the named profile or nil.
func (s *Set) Profile(name string) *Profile {
	if s == nil {
		return nil
	}
	return s.Profiles[name]
}

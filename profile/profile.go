// Package profile defines the typed form of the configuration that operators publish: named profiles
// that define how fresh a read must be, which requests are idempotent, how long work in flight at a
// draining target may continue, and the worth of each kind of request. Begin with Set. Values are
// immutable once published. Package profile/inifile parses and checks the text of a set.
package profile

import (
	"time"
)

// Access defines where requests of a kind may run.
type Access uint8

const (
	// Write requests run on the primary. Write is the zero value, so that requests which a profile
	// does not declare as reads run on the primary.
	Write Access = iota
	// Read requests may be served by a replica that is fresh enough.
	Read
)

// KeyPolicy defines whether requests of a kind must carry a request key.
type KeyPolicy uint8

const (
	// KeyOptional uses a key if the caller sends one.
	KeyOptional KeyPolicy = iota
	// KeyRequired refuses a request without a key.
	KeyRequired
)

// Durability is the condition for acknowledging a write.
type Durability uint8

const (
	// Confirmed waits until a replica that has not promised a later term holds the write, so that no
	// promotion can lose it.
	Confirmed Durability = iota
	// Witnessed waits until a replica reports that it has not promised a later term, which shows that
	// the primary was not superseded. A write that is not yet replicated is lost if the primary
	// crashes, or is replaced because its replicas cannot reach it.
	Witnessed
)

// Kind is a kind of request within a profile.
type Kind struct {
	// Name is the tag that callers send, such as "purchase".
	Name string
	// Access defines whether replicas may serve the request.
	Access Access
	// Worth is the weight of a request that is served in time, relative to other kinds; at least 0.
	Worth float64
	// Deadline is how long the caller waits for the answer.
	Deadline time.Duration
	// MaxAge is the greatest age of the data that a read accepts. Zero requires the data that the
	// primary holds.
	MaxAge time.Duration
	// Idempotent reports whether the proxy may send a request again.
	Idempotent bool
	// Key defines whether a request key must be sent.
	Key KeyPolicy
	// Durability applies to writes.
	Durability Durability
}

// Profile is a named configuration that a service selects.
type Profile struct {
	// Name is unique within a Set.
	Name string
	// DrainGrace is how long work in flight at a draining target may continue.
	DrainGrace time.Duration
	// MaxQueued bounds the requests of this profile that wait on one proxy.
	MaxQueued int
	// MaxSessions bounds the callers' connections on one proxy.
	MaxSessions int
	// Kinds by name.
	Kinds map[string]*Kind
	// Default is the kind of requests without a tag.
	Default *Kind
}

// KindOf returns the kind with the name: Default if the name is empty, or nil if the kind is not
// declared.
func (p *Profile) KindOf(name string) *Kind {
	if name == "" {
		return p.Default
	}
	return p.Kinds[name]
}

// Generation is the number of a published set. Each publish increases it.
type Generation uint64

// Set contains all profiles of one generation. It is immutable.
type Set struct {
	Generation Generation
	Profiles   map[string]*Profile
	// Digest is the hex SHA-256 of the published text.
	Digest string
}

// Profile returns the named profile, or nil if it is not declared or s is nil.
func (s *Set) Profile(name string) *Profile {
	if s == nil {
		return nil
	}
	return s.Profiles[name]
}

package inifile

import "time"

// Keys of a profile's section.
const (
	keyMaxReadAge  = "max-read-age"
	keyDrainGrace  = "drain-grace"
	keyMaxQueued   = "max-queued"
	keyMaxSessions = "max-sessions"
	keyDefaultKind = "default-kind"
)

// Keys of a kind's section.
const (
	keyAccess     = "access"
	keyWorth      = "worth"
	keyDeadline   = "deadline"
	keyMaxAge     = "max-age"
	keyIdempotent = "idempotent"
	keyKey        = "key"
	keyDurability = "durability"
)

// Values of the keys with a fixed set of values.
const (
	valueRead      = "read"
	valueWrite     = "write"
	valueOptional  = "optional"
	valueRequired  = "required"
	valueConfirmed = "confirmed"
	valueWitnessed = "witnessed"
)

// Defaults and bounds.
const (
	// MaxAgeLimit is the greatest age that any read may accept.
	MaxAgeLimit = time.Hour

	defaultDrainGrace = 10 * time.Second
	maxDrainGrace     = 10 * time.Minute

	defaultQueued = 1000
	maxQueued     = 100_000

	defaultSessions = 1000
	maxSessions     = 100_000

	defaultWorth = 1
	maxWorth     = 1000

	defaultDeadline = 5 * time.Second
	minDeadline     = 10 * time.Millisecond
	maxDeadline     = 10 * time.Minute

	maxProfiles = 200
	maxKinds    = 100
)

// UndeclaredKind is the name of the kind of untagged requests in a profile without a default-kind. It
// is a write that the proxy never repeats.
const UndeclaredKind = "undeclared"

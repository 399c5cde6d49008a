// Package settings reads a daemon's INI file. Every key is declared once in
// fields.go with its unit, default and bounds; the file is checked as a whole
// and every finding is reported with file, section, key and line. Keys that are
// not declared are findings too. docs/OPERATIONS.md lists the keys.
package settings

import "time"

// Settings is a daemon's checked settings.
type Settings struct {
	VM       VM
	Listen   Listen
	Platform Platform
	TLS      KeyFiles
	PeerTLS  KeyFiles
	Targets  Targets
	Callers  Callers
	Failover Failover
	Log      Log
	// SessionKeys are the signing keys of session tokens by id.
	SessionKeys map[string][]byte
	// ActiveKey is the id that signs.
	ActiveKey string
	// Users are SCRAM-SHA-256 secrets by user name.
	Users map[string]string
}

// VM says who and where this daemon is.
type VM struct {
	ID   string
	Zone string
	// Groups are the database groups served; empty means all.
	Groups []string
	// Zones are all availability zones in which the fleet has VMs.
	Zones []string
}

// Listen holds the ip:port of each endpoint.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
}

// Platform says how to reach the object API.
type Platform struct {
	URL     string
	Timeout time.Duration
}

// KeyFiles are PEM files; all empty means no TLS.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// Targets says how to log in to database servers and what each can take.
type Targets struct {
	User     string
	Password string
	// TLS is a PostgreSQL sslmode: disable, require or verify-full.
	TLS string
	// CA is the PEM authority of the servers; empty means the system's.
	CA string
	// Connections is one server's limit for the whole fleet.
	Connections int
	// Slots is how many statements one server runs at once.
	Slots int
}

// Callers bounds what callers may use.
type Callers struct {
	MaxSessions    int
	MaxMessage     int
	StartupTimeout time.Duration
	// DrainTimeout is the longest that a shutdown waits for running work.
	DrainTimeout time.Duration
}

// Failover holds the times of detection that operators may set.
type Failover struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	LeaseTime    time.Duration
}

// Log sets what is written.
type Log struct {
	Level string
}

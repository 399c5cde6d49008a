// Package settings reads a daemon's INI file. Parse declares every key once, with its default and
// bounds. It checks the whole file and reports every finding with file, section, key and line. An
// undeclared key is a finding too. docs/OPERATIONS.md lists the keys.
//
// Settings is the type to begin with. The package does not watch the file for changes.
package settings

import "time"

// Settings contains a daemon's checked settings.
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
	// SessionKeys are the signing keys of session tokens by ID.
	SessionKeys map[string][]byte
	// ActiveKey is the ID of the key that signs new tokens.
	ActiveKey string
	// Users are SCRAM-SHA-256 secrets by user name.
	Users map[string]string
}

// VM identifies this daemon and its location.
type VM struct {
	ID   string
	Zone string
	// Groups are the database groups served; empty means all.
	Groups []string
	// Zones are all availability zones in which the fleet has VMs.
	Zones []string
}

// Listen contains the ip:port of each endpoint.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
}

// Platform contains the address of the object API and the timeout of a call.
type Platform struct {
	URL     string
	Timeout time.Duration
}

// KeyFiles are PEM files. TLS is off if all are empty.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// Targets contains the login to database servers and the limits of each server.
type Targets struct {
	User     string
	Password string
	// TLS is a PostgreSQL sslmode: disable, require or verify-full.
	TLS string
	// CA is the PEM file of the certificate authority of the servers; the system's authorities if
	// empty.
	CA string
	// Connections is the limit of connections to one server, for the whole fleet.
	Connections int
	// Slots is the number of statements that one server runs concurrently.
	Slots int
}

// Callers limits the resources that callers may use.
type Callers struct {
	MaxSessions    int
	MaxMessage     int
	StartupTimeout time.Duration
	// DrainTimeout is the maximum time for which a shutdown waits for running work.
	DrainTimeout time.Duration
}

// Failover contains the failure detection times that operators may set.
type Failover struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	LeaseTime    time.Duration
}

// Log configures the log output.
type Log struct {
	Level string
}

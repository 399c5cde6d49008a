// Package peerpb is the generated code of peer.proto: the messages between the
// daemons of one fleet. "make generate" regenerates it; it is committed so that
// the build needs no generator.
package peerpb

// Package ctl implements endivemoorctl, the operators' command line. It reads the platform and the
// daemons' admin endpoints. It makes changes only in the platform, each with an actor, a reason and
// an audit entry.
//
// The exit code reports the effect of a change, so that a script does not have to parse text: see
// ExitCode.
package ctl

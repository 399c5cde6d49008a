// Package ctl is the operators' command line, endivemoorctl. It reads the
// platform and the daemons' admin endpoints, and makes changes only in the
// platform, each with an actor, a reason and an audit entry.
//
// The exit code says what became of a change, so that a script need not read
// text: see ExitCode.
package ctl

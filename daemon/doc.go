// Package daemon puts one proxy process together: settings in, controllers and
// the callers' server started, SIGTERM turned into a graceful shutdown. It
// decides nothing itself.
//
// The order of a shutdown matters. First /readyz refuses, while connections are
// still taken, so that the balancer stops sending new ones; then the peers hear
// that this VM leaves; then the callers' side drains, and only when no request
// runs any more do the controllers stop: a write in flight still needs the gate.
package daemon

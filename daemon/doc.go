// Package daemon assembles one proxy process: it loads the settings, starts the controllers and
// the server for callers, and turns SIGTERM into a graceful shutdown. Begin with Main and Run. It
// makes no decisions itself.
//
// The order of a shutdown matters. First /readyz refuses while connections are still accepted, so
// that the balancer stops sending new ones, and peers are informed that this VM is leaving. Then
// the server for callers drains. Only when no request is running do the controllers stop, because
// a write in progress still needs the gate.
package daemon

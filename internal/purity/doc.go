// Package purity contains the tests that keep the decision core free of side effects: its packages
// must not use sockets, files, loggers, the wall clock or global randomness, and must not start
// goroutines. Any harness can therefore step them event by event and replay a trace exactly.
package purity

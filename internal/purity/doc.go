// Package purity holds the rule of the decision core, as a test: packages that
// decide reach no socket, file, logger, wall clock or global randomness and
// start no goroutine. So any harness can step them event by event and replay a
// trace exactly.
package purity

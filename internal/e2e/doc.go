// Package e2e checks the system's invariants against real processes: the daemons, the stand-in
// platform and the stand-in database servers, each as a process on loopback, under SIGKILL, SIGSTOP
// and SIGCONT, network cuts and store outages. Callers are ordinary pgx connections.
//
// The checker does not depend on the proxy. It compares the answers that each caller received with
// the rows and the log of the group's primary, which it queries directly.
//
// Every wait is for a condition, and no test asserts an elapsed time, so that the result is the
// same on a slow machine.
package e2e

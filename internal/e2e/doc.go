// Package e2e proves what must always hold against real processes: the daemons,
// the stand-in platform and the stand-in database servers, each as a process on
// loopback, under SIGKILL, SIGSTOP and SIGCONT, cuts and store outages. Callers
// are ordinary pgx connections.
//
// The judge knows nothing of the proxy. It compares what each caller was told
// with the rows and the log of the group's primary, which it asks directly.
//
// Every wait is for a condition, and no test asserts an elapsed time, so that
// the verdict is the same on a slow machine.
package e2e

// Package scenario steps the decision core through scripted failures in virtual time. It contains
// small fakes of everything around the core: the platform's store, database servers, the network
// between them, VMs and callers. The scripts are text files under testdata, written so that
// operators can follow them; the fault matrix uses the same fakes.
//
// The package is not a cluster simulator. A world has one or two groups, two or three VMs and a
// single thread. All randomness comes from the seed, so the same script and seed give the same
// trace byte for byte.
//
// The code under test is the product's own for failover, acknowledgement, requests, sessions and
// drains. docs/PROOFS.md lists the fakes; a property that a fake provides by itself is not proved
// here.
//
// The checkers (check.go) do not depend on the proxy. They compare the answers that callers
// received with what the servers executed.
package scenario

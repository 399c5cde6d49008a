// Package scenario steps the decision core through scripted failures in virtual
// time. It holds small fakes of what lies around the core: the platform's
// store, database servers, the network between them, VMs and callers. Scripts
// are text files under testdata that an operator can read aloud; the fault
// matrix uses the same fakes.
//
// It is no cluster simulator. There are one or two groups, two or three VMs,
// and one thread. Everything that is random comes from the seed, so the same
// script and seed give the same trace byte for byte.
//
// What runs here is the product's own code for failover, acknowledgement,
// requests, sessions and drains. What is fake is listed in docs/PROOFS.md: a
// property that the fakes provide by themselves is not proved here.
//
// The judges (judge.go) know nothing of the proxy. They see what callers were
// answered and what the servers executed.
package scenario

// Package relay lets a VM reach a target through another VM, a gateway, where the target accepts
// too few connections for each VM to hold its own. It does not choose the gateways: package
// gateways assigns them.
//
// Begin with Router, the dispatch.Runner of a VM: it uses the VM's own connections where the
// assignment allows it, and otherwise sends each statement to a gateway, whose Server runs it over
// the gateway's connections. A statement outside of a transaction is one call. A transaction holds
// a connection of the gateway between its calls; the gateway rolls back a transaction that the
// consumer's VM leaves open.
//
// A call that did not reach the gateway was not sent, and the Router tries the next gateway. A call
// without a reply may have run: it is lost, as if the target itself had not answered, but the
// failure is not counted against the target. A gateway that did not reply is in backoff.
//
// # Alternatives
//
// Lending the right to open a connection between VMs was rejected: each transfer would still cost
// the opening of a connection, some milliseconds of a target's time. Streams that carry the
// target's own protocol were rejected: a stream holds a connection while its consumer is idle, or
// has to detect where transactions end, which the calls here state.
package relay

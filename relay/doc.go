// Package relay lets a VM reach a target through another VM, its gateway, where
// the target takes too few connections for each VM to hold its own. Package
// gateways decides who that is.
//
// A Router is the dispatch.Runner of a VM: it connects by itself where it may,
// and otherwise sends each statement to a gateway, whose Server runs it over its
// own connections. A statement outside of a transaction is one call. A
// transaction holds a connection of the gateway between its calls; what its
// consumer's VM leaves open is rolled back.
//
// A call that did not reach the gateway was not sent, and the next gateway is
// tried. One that got no answer may have run: it is lost, as if the target
// itself had not answered, but the target is not to blame. A gateway that did not
// answer is left alone for a while.
//
// # Alternatives
//
// Lending the right to open a connection between VMs was weighed: it leaves the
// cost of opening, some milliseconds of a target's time, for each turn.
// Streams that carry the target's own protocol were weighed: a stream holds a
// connection while its consumer is silent, or has to learn where transactions
// end, which is what the calls here state.
package relay

// Package gossip lets the VMs of a fleet learn from each other what the store
// does not tell them, or not in time: configurations, targets and the fleet's
// own records for a VM that the store turns away, and proofs of freshness that
// would otherwise cost each VM questions of its own.
//
// Every VM pulls from a few others at a fixed interval, whatever the fleet's
// size. What is pulled has a version that only grows, or an age, so that a
// reply that is late, old or repeated does no harm.
package gossip

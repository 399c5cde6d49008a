// Package gossip lets the VMs of a fleet obtain from each other what the store does not provide, or
// not in time: configurations, targets and the fleet's own records for a VM that the store refuses,
// and proofs of freshness that would otherwise cost each VM status queries of its own.
//
// Begin with Clients, which pulls from peers, and Server, which answers them. The package does not
// choose the peers, and does not apply what it pulls: the caller of Clients does both. Every VM
// pulls from a few others at a fixed interval, whatever the size of the fleet. All pulled data has a
// version that only grows, or an age, so that a late, outdated or repeated reply does no harm.
package gossip

// Package failover compares the acknowledgement gates when a primary fails: how long writes are
// unavailable, how many acknowledged writes are lost, and how long each write waits for its
// acknowledgement. Compare, Heartbeats and FalsePromotions print the tables. The package runs the
// trials of package scenario in virtual time, so its figures include the decisions and network
// delays but no processor time.
//
// The permission of the lease gate is a replica's statement that it has promised no later term.
// Heartbeats renew it, and the promoter waits until it has expired. This is the cheapest form of a
// safe lease, since it needs no call to the store.
package failover

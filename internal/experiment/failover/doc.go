// Package failover measures how the acknowledgement gates do when a primary
// fails: how long writes are unavailable, what acknowledged writes are lost, and
// what each write waits for its acknowledgement. It plays package scenario's
// trials in virtual time, so its figures show the decisions and the network's
// delays but no processor time.
//
// The lease gate's permission is a replica's word that it has promised no later
// term, renewed by heartbeats; the promoter waits it out. That is the cheapest
// form of a lease that is safe, since it needs no call to the store.
package failover

// Package spending counts the resources that a VM uses outside itself: bytes on the connections
// that it opens, by purpose and by whether they leave its availability zone; queries and commands
// to targets, by reason; and calls to the store, by kind. Meter counts them, and Summary adds up
// the counts in the logs of many VMs.
//
// Bytes are counted at the side that opens the connection, in both directions, above TCP: the sum
// over all VMs counts each byte once.
package spending

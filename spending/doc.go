// Package spending counts what a VM spends on others: bytes on the connections
// that it opens, by purpose and by whether they leave its availability zone,
// questions to targets by their reason, and calls to the store by kind.
//
// Bytes are counted at the side that opens the connection, in both directions,
// above TCP: the sum over all VMs counts each byte once.
package spending

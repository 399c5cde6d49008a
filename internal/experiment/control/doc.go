// Package control measures membership and ownership as the fleet grows: how
// soon all VMs agree that one died, whether any is taken for dead that is not,
// what the exchanges weigh, and how many calls the store gets by purpose.
//
// Membership runs as the product's own machines in virtual time, with message
// delays, loss and the platform's lagging list. The calls to the store are
// worked out from the product's settings and budget.
package control

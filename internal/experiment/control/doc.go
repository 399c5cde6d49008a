// Package control measures membership and ownership as the fleet grows: how soon all VMs agree that
// a VM failed, how often a live VM is considered dead, how many bytes the exchanges take, and how
// many calls the store receives by purpose. Membership and StoreCalls print the results.
//
// Membership runs the product's own state machines in virtual time, with message delays, message
// loss and the platform's lagging VM list. The calls to the store are not measured but calculated
// from the product's settings and budget.
package control

// Package edge is the daemon that serves on the users' platform: one symmetric
// program on every VM, with no disk and no VM set aside for control.
//
// It wires the session engine to the platform's adapter: watches of the object
// store feed the catalog, the catalog feeds the lanes and the groups, and
// consumers' connections are served from there. What lasts is in the store.
package edge

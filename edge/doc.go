// Package edge implements the daemon that runs on every VM of the users' platform and serves
// consumers' connections.
//
// Edge connects the session engine to the platform's adapter: watches of the object store fill the
// catalog, and the catalog configures the lanes and the groups that serve the connections. All VMs
// run the same program and no VM is reserved for control. The daemon uses no disk: all durable
// state is in the object store. Begin with New and Edge.Serve; Run adds settings, signals and
// logging.
package edge

// Package catalog is the typed form of what operators and targets publish: the routes from a
// database's name to a service, the services' limits, and the targets that serve each service now.
// It does not read the store or peers: others pass it what they have read.
//
// Begin with Catalog and Holder. A Catalog is immutable. The Holder replaces it as a whole
// (read-copy-update), so that a request sees one consistent state with one atomic load.
package catalog

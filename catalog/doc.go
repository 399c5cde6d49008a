// Package catalog is the typed form of what operators and targets publish: the
// routes from a database's name to a service, the services' limits, and the
// targets that stand for each service now.
//
// A Catalog is immutable. The Holder replaces it as a whole (read-copy-update),
// so that a request sees one consistent state by one atomic load.
package catalog

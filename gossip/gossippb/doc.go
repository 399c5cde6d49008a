// Package gossippb holds the generated messages and service of package gossip.
// The generated files are committed; `make generate` regenerates them.
package gossippb

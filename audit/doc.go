// Package audit defines the audit trail: append-only entries, each of which contains the digest of
// the previous one. A reader needs to trust neither the proxy nor the operator that wrote the
// trail: Verify reports entries that were changed, dropped, repeated or reordered. A trail that was
// rewritten from some entry to its end is consistent in itself; only an anchor, a Head that was
// recorded elsewhere earlier, reveals the change.
//
// Entry and Verify are the declarations to begin with. The package does no I/O; package audit/log
// stores the entries in the platform.
package audit

// Package audit is the trail of changes: append-only entries, each of which
// holds the digest of the one before it. Whoever reads the trail later needs to
// trust neither the proxy nor the operator that wrote it: Verify names an entry
// that was changed, dropped, repeated or reordered. A trail that was rewritten
// from some entry to its end is consistent in itself; only a Head noted
// elsewhere earlier, an anchor, shows it.
//
// The package is pure; package audit/log keeps the entries in the platform.
package audit

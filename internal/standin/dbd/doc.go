// Package dbd is a stand-in for one PostgreSQL server of a replicated group. It
// is for tests, the demo and measurements; it stores everything in memory.
//
// Layers, from the bottom:
//
//   - engine: two SQLite databases, "head" and "committed". The one open write
//     transaction runs in head; every committed transaction is replayed into
//     committed, which all other reads use. A read therefore never waits for an
//     open write transaction, and sees only what was committed.
//   - entryLog: the committed write transactions in order. One transaction is
//     one entry with (term, LSN), and the LSN grows by one for each. A promotion
//     adds an entry without statements, so that a term is visible in the log of
//     whoever has replicated its start.
//   - node: role, term and promise. Commit, fence, promote, rewind and replicated
//     entries all pass through its one mutex, which makes "no commit after a
//     fence was answered" true and not merely probable.
//   - session: PostgreSQL protocol 3 over one connection.
//
// Replication is asynchronous and logical: a replica asks its primary for
// entries over the same SQL protocol and replays their statements. Statements
// must be deterministic: random() or the current time in a write makes copies
// differ.
//
// Isolation is READ COMMITTED for reads outside write transactions. BEGIN on
// a primary takes the only write lock, so that writers queue and never fail by
// a conflict; BEGIN READ ONLY does not take it.
//
// What a server holds is lost when its process ends. It must then come back
// with RoleBlank: it has forgotten its promise, so it may not count as one of
// the majority that fences a group until it follows a primary again.
package dbd

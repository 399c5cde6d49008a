// Package dbd is a stand-in for one PostgreSQL server of a replicated group, for tests, the demo
// and measurements. Start runs a Server in the process, and Command runs one as a process of its
// own. Faults injects freezes, network cuts, slow statements and replication delay. All data is
// held in memory.
//
// Layers, from the bottom:
//
//   - engine: two SQLite databases, "head" and "committed". The one open write transaction runs in
//     head; every committed transaction is replayed into committed, which serves all other reads.
//     A read therefore never waits for an open write transaction, and sees committed data only.
//   - entryLog: the committed write transactions in order. Each transaction is one entry with
//     (term, LSN), and the LSN grows by one per entry. A promotion adds an entry without
//     statements, so that the term is visible in the log of each server that has replicated its
//     start.
//   - node: role, term and promise. Commit, fence, promote, rewind and replicated entries all take
//     its one mutex, so that no transaction can commit after a fence was answered.
//   - session: PostgreSQL protocol 3 over one connection.
//
// Replication is asynchronous and logical: a replica fetches the entries of its primary over the
// same SQL protocol and replays their statements. Statements must be deterministic: random() or the
// current time in a write makes the copies differ.
//
// Isolation is READ COMMITTED for reads outside write transactions. BEGIN on a primary takes the
// only write lock, so that writers queue and never fail by a conflict; BEGIN READ ONLY does not
// take it.
//
// A server loses its data when its process ends. It must be restarted with RoleBlank: it no longer
// has its promise, so it must not count towards the majority that fences a group until it has
// followed a primary again.
package dbd

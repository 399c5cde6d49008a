// Package proxy is the callers' side: the PostgreSQL protocol, version 3, by
// way of pgproto3, and the work of each request on a target's connection.
//
// One goroutine serves one caller. It reads a whole request (a query, or a
// batch up to Sync), sends it through the filter chain, and writes the whole
// answer. Nothing of an answer leaves before the chain has returned, up to
// Limits.AnswerBuffer; a longer one is streamed, and the request is not
// repeated from then on. The last messages of a commit, CommandComplete and
// ReadyForQuery, are always kept until the gate has allowed them.
//
// # What a caller sends
//
// At connect: user and password (SCRAM-SHA-256), database (the group's name),
// endivemoor.profile (a published profile) and, after roaming,
// endivemoor.session (the token of its last write). With each request, if the
// profile's default kind does not fit: a leading comment, see filter.Tag. A
// query that is only the comment is answered empty and tags the next request.
//
// # What a caller gets
//
// After each committed write a ParameterStatus endivemoor.session with a new
// token comes just before ReadyForQuery. An error of the proxy's own carries
// "outcome=... retry-after-ms=..." in its DETAIL.
//
// # Transactions and state
//
// A connection to a target is owned for one transaction. Session state ends
// with it: SET outside a transaction is answered with a warning. Prepared
// statements outlive it, since the proxy keeps their Parse messages and sends
// them again to whichever connection a later request gets. COPY is refused.
//
// # Request keys
//
// A keyed request runs inside a transaction of the proxy's, which first
// inserts the key into endivemoor_requests (key TEXT PRIMARY KEY, digest TEXT,
// answer TEXT) and last records the answer there. Of all repeats, through
// whichever proxies, only one can commit that row; the others are given the
// recorded answer. In an explicit transaction the key's row proves that it
// committed, and a repeat is told so by EM001 with outcome=done.
//
// # Metrics
//
//	endivemoor_sessions                       gauge, callers connected
//	endivemoor_startup_refused_total{code}    connections refused, by SQLSTATE
//
// The request metrics are listed at filter.Metrics, the pool's at pool.Metrics.
package proxy

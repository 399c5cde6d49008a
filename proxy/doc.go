// Package proxy serves callers: it implements the PostgreSQL protocol, version 3, with pgproto3, and
// runs each request on a connection to a target. The types to begin with are Server, for the
// listener and its sessions, and Config. Package filter contains the filter chain that routes,
// admits and retries requests, and package pool the connections to targets. The proxy does not parse
// SQL.
//
// One goroutine serves one caller. It reads a whole request (a query, or a batch up to Sync), passes
// it through the filter chain, and writes the whole answer. No part of an answer is sent before the
// chain has returned, up to Limits.AnswerBuffer; a longer answer is streamed, and from then on the
// request is not repeated. The last messages of a commit, CommandComplete and ReadyForQuery, are
// always withheld until the gate has allowed them.
//
// # What a caller sends
//
// At connect: user and password (SCRAM-SHA-256), database (the group's name), endivemoor.profile (a
// published profile) and, after moving to another proxy, endivemoor.session (the token of its last
// write). With each request, if the profile's default kind does not fit: a leading comment, see
// filter.Tag. A query that consists of the comment alone gets an empty answer and tags the next
// request.
//
// # What a caller receives
//
// After each committed write a ParameterStatus endivemoor.session with a new token directly precedes
// ReadyForQuery. An error that the proxy itself returns has "outcome=... retry-after-ms=..." in its
// DETAIL.
//
// # Transactions and state
//
// A connection to a target is owned for one transaction. Session state ends with the transaction:
// SET outside a transaction is answered with a warning. Prepared statements outlive it, since the
// proxy retains their Parse messages and sends them again on any connection that a later request
// gets. COPY is refused.
//
// # Request keys
//
// A keyed request runs inside a transaction of the proxy, which first inserts the key into
// endivemoor_requests (key TEXT PRIMARY KEY, digest TEXT, answer TEXT) and last records the answer
// there. Of all repeats, through any proxies, only one can commit that row; the others receive the
// recorded answer. In an explicit transaction the key's row proves that the transaction committed,
// and a repeat receives EM001 with outcome=done.
//
// # Metrics
//
//	endivemoor_sessions                       gauge, callers connected
//	endivemoor_startup_refused_total{code}    connections refused, by SQLSTATE
//
// The request metrics are listed at filter.Metrics, the pool's at pool.Metrics.
package proxy

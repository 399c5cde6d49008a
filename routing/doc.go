// Package routing chooses the server that runs a request.
//
// Start with Tracker, which records evidence on servers, and Router, which chooses among them. The
// Tracker contains the fast-changing state: each server's last status report with the time of its
// query, and the latency that requests measured. It is written with atomics and read without a
// lock; the set of servers is read-copy-update. The slow-changing state (each group's primary and
// history, and the draining servers) is in the view.
//
// # Which servers qualify
//
// The Router first selects the servers that qualify. For a read, a server qualifies if
//
//   - it is not draining and is not a superseded primary;
//   - a promotion has discarded none of its entries (timeline.History);
//   - it covers the session's floor;
//   - its data is no older than the kind's MaxAge.
//
// # How old a replica's data is
//
// A replica's status report contains its position, but not the age of that position. The Tracker
// therefore stores samples of the primary's position, each with the time at which the primary was
// queried. A replica that covers a sample has everything that was committed before that time, so it
// is current as of then. Using the time of the query instead of the answer overestimates the age.
//
// A sample is valid only if it is witnessed: a replica that was queried at or after the sample's
// time had not promised a later term. Together with the primary these are two of three servers (a
// larger group needs more witnesses), so no majority was fenced and no later primary existed at
// that time. Without a witness, a proxy that is partitioned together with a superseded primary
// would consider that primary's outdated data fresh.
//
// # Which qualifying server is chosen
//
// A Policy chooses among the candidates. Production uses EvidencePolicy, which compares the cost of
// two random replicas. The cost is the outstanding work times the measured latency, raised for
// another zone. Slow, unresponsive and failing servers are degraded: they receive only a trickle of
// requests, which replaces separate probes and detects their recovery. If no replica qualifies, the
// policy waits briefly when the recent distribution of the lag predicts that one soon will, and
// otherwise uses the primary unless that is busy. docs/MEASUREMENTS-ROUTING.md compares
// EvidencePolicy with the policies that it replaced, which are in internal/experiment.
//
// The package is pure: the time is an argument of each call, and randomness is seeded. It sends no
// requests or status queries itself.
package routing

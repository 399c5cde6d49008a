// Package ack decides when a committed write may be acknowledged to its caller.
//
// A primary's answer to COMMIT is not sufficient evidence: the primary may have been superseded,
// and no other server may have a copy of its log. The proxy therefore withholds the answer until
// evidence from other servers, queried after the commit, shows that the acknowledgement will remain
// valid. The gates differ in the evidence that they require:
//
//	gate     required evidence                     after a crash of the primary
//	Confirm  a replica of the term has the write   the write is not lost
//	Witness  a replica promised no later term      the write may be lost
//	Lease    a permission for the term is valid    the write may be lost
//
// Mix uses one gate for kinds whose writes must not be lost and another for the other kinds. Start
// with Standard, Evidence and Gate; Pace schedules the status queries.
//
// Why Confirm is correct: the primary and the replica are a majority that has the write, and the
// replica had promised no later term when it answered. Every later promotion needs the promises of
// a majority. That majority includes the primary or the replica, whose log contains the write, and
// the promotion selects the longest log of the latest term.
//
// Why Witness is correct: when the write committed, neither the primary nor the replica had
// promised a later term, so no majority had. The primary was therefore not superseded when it
// committed.
//
// Why Lease is correct: the promoter waits until the permission has expired on its own clock, which
// is slower than the proxy's by at most MaxDrift. Unlike the other gates, Lease depends on clocks,
// and the wait is added to every failover.
//
// The package is pure: it performs no I/O and reads no clock. Its inputs are times and status
// reports, and its output is a Decision.
package ack

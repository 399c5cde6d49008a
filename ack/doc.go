// Package ack decides when a committed write may be acknowledged to its caller.
//
// A primary's answer to COMMIT proves little: the primary may have been
// superseded, and its log may not be copied anywhere. The proxy therefore holds
// the answer back until evidence from other servers, asked for after the
// commit, shows that the acknowledgement will stand. The gates differ in what
// they ask for:
//
//	gate     evidence                                 a crash of the primary
//	Confirm  a replica of the term holds the write    loses nothing
//	Witness  a replica has promised no later term     may lose the write
//	Lease    a permission for the term has not ended  may lose the write
//
// Mix uses one gate for kinds that must not be lost and another for the rest.
//
// Why Confirm holds: the primary and the replica are a majority that holds the
// write, and the replica had promised no later term when it answered. Every
// later promotion needs the promises of a majority; one of these two is in it,
// with the write in its log, and the longest log of the latest term wins.
//
// Why Witness holds: when the write committed, neither the primary nor the
// replica had promised a later term, so no majority had. The primary was not
// superseded when it committed.
//
// Why Lease holds: the promoter waits until the permission has ended on a clock
// that is slower than the proxy's by at most MaxDrift. Unlike the other gates it
// rests on clocks, and the wait is added to every failover.
//
// The package is pure: time and reports come in, a Decision comes out.
package ack

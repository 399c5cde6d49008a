// Package membership determines which VMs of the fleet a VM considers live. Begin with Machine. The
// package sends nothing itself and does not decide which VM does which work.
//
// There are two kinds of evidence, and neither is sufficient. The platform's list lags: a VM on it
// may be dead, a new one may be missing, and the list does not change during an outage. Peers'
// evidence is fast, but a VM that is partitioned gets no reply from any peer and must not conclude
// that all others died. Work moves according to both:
//
//	on the list     peers' evidence             considered
//	yes             none, or contact            live
//	yes             suspected                   live for DeadAfter, then dead
//	never yet       contact                     live: new, or the list lags
//	never yet       suspected                   dead
//	no longer       contact in SuspectAfter     live
//	no longer       otherwise                   dead
//	leaving         any                         not live: its work moves to others
//
// # Suspicion
//
// Each Interval a VM exchanges Records with Fanout partners drawn at random, the first in its own
// availability zone, the others in other zones; so every VM is contacted several times a second,
// whatever the size of the fleet. A VM that leaves three consecutive exchanges unanswered is
// suspected. The suspicion is a pending update: it is passed on in a bounded number of exchanges
// that grows with the logarithm of the fleet's size, and so is its refutation, a later contact of
// some VM with the suspected one. Without pending updates an exchange carries at most one record of
// another VM: the amount that a VM sends does not grow with the fleet.
//
// A VM that got no reply for SuspectAfter, or that suspects more than two thirds of the listed VMs,
// considers itself partitioned and moves no work. Terms and the lease ensure safety in that case;
// this rule avoids needless moves. A VM that was dead must be free of suspicion for SettleFor before
// it is live again, so that a flapping VM does not move work back and forth.
//
// Records carry ages and never instants, because the clocks of two VMs are not comparable.
//
// The Machine is pure: the driver passes events and the time, carries out the actions and reads
// Live.
package membership

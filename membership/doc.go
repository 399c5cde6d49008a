// Package membership keeps a VM's belief of which VMs are live.
//
// There are two kinds of evidence, and neither is enough. The platform's list
// lags: a VM on it may be gone, a new one may be missing, and during an outage
// it stands still. Peers' evidence is quick, but a VM that is cut off gets no
// answer from anybody and must not conclude that everybody else died. Work is
// moved by both:
//
//	on the list     peers' evidence             believed
//	yes             none, or heard              live
//	yes             suspected                   live for DeadAfter, then gone
//	never yet       heard                       live: new, or the list lags
//	never yet       suspected                   gone
//	no longer       heard within SuspectAfter   live
//	no longer       otherwise                   gone
//	leaving         any                         gone: it gives its work away
//
// # Suspicion
//
// Each Interval a VM exchanges Records with Fanout partners drawn at random,
// the first in its own availability zone, the others elsewhere; so every VM is
// spoken to several times a second by somebody, whatever the fleet's size. A VM
// that leaves three exchanges in a row unanswered is suspected. The suspicion is
// news: it is passed on in a bounded number of exchanges that grows with the
// logarithm of the fleet, and so is what refutes it, a later instant at which
// somebody heard the VM. Without news an exchange carries next to nothing: what
// a VM sends does not grow with the fleet.
//
// If a VM got no answer for SuspectAfter, or suspects more than two thirds of
// the listed VMs, it takes itself for cut off and moves nothing. Terms and the
// lease keep that safe; this keeps it quiet. A VM that was gone must be free of
// suspicion for SettleFor before it is live again, so that one that flaps does
// not drag work to and fro.
//
// Ages travel, never instants, because two VMs' clocks do not compare.
//
// The Machine is pure: the driver passes events and time, carries out the
// actions and reads Live.
package membership

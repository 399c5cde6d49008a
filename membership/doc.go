// Package membership keeps a VM's belief of which VMs are live.
//
// There are two kinds of evidence, and neither is enough. The platform's list
// lags: a VM on it may be gone, a new one may be missing, and during an outage
// it stands still. Peers' evidence is quick, but a VM that is cut off hears
// nobody and must not conclude that everybody else died. Work is moved by both:
//
//	on the list   heard lately   believed
//	yes           yes            live
//	no            yes            live: new, or the list lags
//	yes           no             live until DeadAfter, then gone
//	no            no             gone after SuspectAfter
//	leaving       -              gone at once: it gives its work away
//
// If fewer than a third of the listed VMs are heard, this VM takes itself for
// cut off and moves nothing. Terms and the lease keep that safe; this keeps it
// quiet. A VM that was gone must be heard for SettleFor before it is live
// again, so that one that flaps does not drag work to and fro.
//
// Evidence is a Record: the VM's incarnation (a later start replaces an earlier
// one) and how long ago it was heard. Ages travel, never instants, because two
// VMs' clocks do not compare. Each Interval a VM exchanges a bounded number of
// Records with Fanout partners, the first in its own availability zone and the
// others elsewhere. In a large fleet a Record therefore takes longer to get
// around; DeadAfter grows with the fleet to allow for it.
//
// The Machine is pure: the driver passes events and time, carries out the
// actions and reads Live.
package membership

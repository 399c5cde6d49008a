// Package failover decides when a database group gets a new primary, and which
// server that is. One Machine looks after one group on one VM. It is pure: the
// driver passes events and the time in, and carries the returned actions out.
//
// # Driving a Machine
//
// Call Step for every event, with the VM's monotonic time, from one goroutine.
// A Tick is due every Config.Tick. Actions may be carried out concurrently and
// in any order; each but Announce and Record is answered by one event, which
// carries the action's identifying fields back. A lost answer, a late one and
// one that comes twice are all harmless. A driver with no answer within
// its own timeout reports the failure; it never repeats an action by itself.
//
//	Probe       -> ProbeAnswered or ProbeFailed
//	AskPeers    -> one PeerReport for each peer that answers
//	ReadLease   -> LeaseResult
//	RenewLease  -> LeaseResult
//	ReadGroup   -> GroupLearned
//	Reserve     -> ReserveResult
//	Publish     -> PublishResult
//	Fence       -> FenceAnswered
//	Promote     -> PromoteAnswered
//	Follow      -> FollowAnswered
//
// # Why no acknowledged write is lost
//
// The servers of a group act like the acceptors of a consensus protocol, and a
// term is a ballot:
//
//   - A term belongs to the one VM whose conditional update of the group's
//     object reserved it. Config.Incarnation is new for every process, so that
//     a restarted VM does not take its former self's terms for its own.
//   - A Machine uses a term for one attempt, and orders at most one server to
//     be promoted in it. So a term has at most one primary, and the entries of
//     one term form one log.
//   - A server that promised term N commits no write and accepts no replication
//     of a lower term. A promotion needs the promise of a majority.
//   - A confirmed write is held by a majority, at a moment when its second
//     holder had promised no later term (package ack). The two majorities share
//     a server, and so the write is in the log of a server that was fenced.
//   - Of the servers fenced, the one with the highest (term, LSN) is promoted.
//     Its log holds all that was confirmed in the term of its last entry and,
//     by induction, in the terms before. A follower that has not yet reached
//     the start of its term is ranked by the term of its last entry: it may
//     lack what was confirmed before that start.
//
// The lease on a group and the agreement of availability zones only keep VMs
// from duelling and from deposing a healthy primary. Safety needs neither: a
// lapsed holder that wakes finds its terms refused by the servers.
//
// # Why it makes progress
//
// Each Machine reserves a block of terms ahead of need while the store is well,
// so that a promotion needs no call to the store. The lease holder acts as soon
// as two zones agree; another VM acts Config.TakeoverDelay later if nobody has
// fenced the servers since. With one server left to fence the Machine waits.
package failover

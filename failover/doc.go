// Package failover decides when a database group gets a new primary, and which server becomes it.
//
// One Machine manages one group on one VM; New, Config and Machine.Step are the place to begin. The
// package is pure: it performs no I/O and reads no clock. The driver passes in events and the time,
// and carries out the returned actions.
//
// # Driving a Machine
//
// Call Step for every event, with the VM's monotonic time, from one goroutine. A Tick is due every
// Config.Tick. Actions may be carried out concurrently and in any order. Each action except
// Announce and Record is answered by one event, which repeats the action's identifying fields.
// Lost, late and duplicate answers are harmless. A driver that gets no answer within its own
// timeout reports the failure; it never repeats an action by itself.
//
//	Probe       -> ProbeAnswered or ProbeFailed
//	QueryPeers  -> one PeerReport for each peer that answers
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
//   - A term belongs to the one VM whose conditional update of the group's object reserved it.
//     Config.Incarnation is new for every process, so a restarted VM does not reuse the terms that
//     its previous process reserved. A store that was restored from an older copy has lost
//     reservations; the terms that it reserves are functions of the era and the version on which
//     the update is conditional, and no such update takes effect twice.
//   - A Machine uses a term for one promotion attempt, and commands at most one server to be
//     promoted in it. A term therefore has at most one primary, and the entries of one term form
//     one log.
//   - A server that promised term N commits no write and accepts no replication of a lower term.
//     A promotion needs the promises of a majority.
//   - A confirmed write is held by a majority whose replica had promised no later term when it
//     confirmed the write (package ack). This majority and the fenced one share a server, so the
//     log of a fenced server contains the write.
//   - Of the fenced servers, the one with the highest (term, LSN) is promoted. Its log contains
//     every write confirmed in the term of its last entry and, by induction, in earlier terms. A
//     follower that has not yet reached the start of its term is ranked by the term of its last
//     entry, because it may lack writes that were confirmed before that start.
//
// The group's lease and the agreement of availability zones only prevent concurrent promotion
// attempts and the replacement of a healthy primary. Safety depends on neither: when a holder whose
// lease has expired resumes after a pause, the servers refuse its terms.
//
// # Why it makes progress
//
// Each Machine reserves a block of terms in advance while the store is available, so that a
// promotion needs no call to the store. The lease holder acts as soon as two zones agree that the
// primary is unresponsive. Another VM acts Config.TakeoverDelay later if no VM has fenced the
// servers since. While only one server can be fenced, the Machine waits.
package failover

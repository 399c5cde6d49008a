// Package request is the state machine of one request. It is pure: the caller
// reports events and passes the time, and a Machine returns what is known about
// the request and whether it may be repeated. Sending requests and choosing
// servers are left to the caller.
//
// A request moves in one direction through three states:
//
//	queued -> sent -> answered
//
// It is queued until its first byte is sent to a target, sent from then on, and
// answered once its complete answer is known. Only a queued request may end as
// "not run". The proxy may repeat a request on its own if it is queued, if its
// kind is idempotent, or if it carries a request key: the key is a unique row in
// the target's own transaction, so that at most one of all repeats commits. A
// repeat also requires time before the deadline and a token of the group's retry
// budget, and is never made once a byte of an answer was forwarded to the caller.
//
// Steps lists the named steps of a request, which are finer than the states. A
// fault can occur before or after each step; the fault matrix builds its columns
// from that list.
package request

// Package request is the life of one request, as a pure state machine: typed
// events and a time go in, and what may be said of the request comes out.
//
// A request moves one way through three states:
//
//	queued -> sent -> answered
//
// It is queued while no byte of it has left for a target, sent from the first
// such byte on, and answered once its whole answer is known. Only a queued
// request may end as "not run". The proxy may repeat it on its own when it is
// queued, when its kind is idempotent, or when it carries a request key: the
// key is a unique row in the target's own transaction, so that of all repeats
// at most one commits. A repeat also needs time before the deadline and leave
// of the group's retry budget, and is never made once a byte of an answer went
// to the caller.
//
// Between the states lie the named steps in Steps. A fault can strike before or
// after each of them; the fault matrix builds its columns from that list.
package request

// Package routing chooses the server that runs a request.
//
// The Board holds the fast-moving evidence on servers: what a server last said
// of its log and when it was asked, and what requests themselves showed of its
// speed. It is written with atomics and read without a lock; the set of
// servers is read-copy-update. The slow-moving facts (who is the primary, the
// group's history, who is draining) are in the view.
//
// # What a server must show
//
// The Router first finds the servers that qualify. For a read:
//
//   - it does not drain, and is not a superseded primary;
//   - nothing it holds was discarded by a promotion (timeline.History);
//   - it covers the session's floor;
//   - its data is no older than the kind's MaxAge.
//
// # How old a replica's data is
//
// A replica's own statement says where it is, not how old that is. The Board
// therefore keeps samples of the primary's position, each with the instant at
// which the primary was asked. A replica that covers a sample holds everything
// that was committed before that instant, so it is current as of then. Using
// the instant of asking, not of the answer, errs towards older.
//
// A sample counts only if it is witnessed: a replica that was asked at or after
// the sample's instant had not promised a later term. With the primary itself
// that makes two of three servers (a larger group needs more witnesses), so no
// majority was fenced and no later primary existed at that instant. Without this, a proxy that is cut off
// together with a superseded primary would call its old data fresh.
//
// # Which of them is chosen
//
// A Policy picks among the candidates. The product has one, Evidence: two
// choices by cost, where cost is the outstanding work times the latency that
// requests showed, raised for another zone. Servers that are slow, silent or
// failing are eased off and keep a trickle of requests that lets them recover:
// no probe of its own. When no replica qualifies it waits briefly if the lag's
// recent distribution says that one soon will, and otherwise goes to the
// primary unless that is busy. docs/MEASUREMENTS-ROUTING.md compares it with
// the policies that it replaced; they live in internal/experiment.
//
// The package is pure: time comes in with each call, randomness is seeded.
package routing

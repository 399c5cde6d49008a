// Package engine is the session engine: it serves the statements of consumers' sessions from the
// targets of their service. Start with Engine, which opens Sessions, and Session.Handle.
//
// The engine stores a session's values and prepared statements, and sets them on the connection
// that serves the session next, so that a connection is held for one statement or one transaction
// only. A transaction is opened at a target with its first statement, and the target is chosen
// then.
//
// Answers to consumers:
//
//   - a successful answer to a read, write or commit is the target's own, complete and with its
//     signature;
//   - a statement that certainly has not run is sent to another target while time remains, and then
//     refused as not run;
//   - a read whose answer is lost is repeated at another target, because it has no effect;
//   - a lost answer to a write, or to the commit of a transaction that wrote, is reported as in
//     doubt at once: only the consumer can decide whether it may be repeated;
//   - a transaction that ends before its commit was sent is reported as aborted: its connection is
//     closed, and the target rolls back.
//
// The package does not read or write any wire format.
package engine

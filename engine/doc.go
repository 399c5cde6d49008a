// Package engine is the session engine: it serves the statements of consumers'
// sessions from the targets of their service, and knows no wire format.
//
// A session's values and prepared names are kept here and given to whichever
// connection serves it next, so that a connection is held for one statement or
// one transaction only. A transaction is opened at a target with its first
// statement, and the target is chosen then.
//
// What is answered:
//
//   - a success of a read, write or commit is a target's own, whole and with
//     its signature;
//   - a statement that was surely not run is sent elsewhere while its time
//     allows, and then refused as not run;
//   - a read whose answer is lost is repeated elsewhere: it has no effect;
//   - a lost answer to a write or to the commit of a transaction that wrote is
//     answered as in doubt at once: only the consumer knows if it may repeat it;
//   - a transaction that ends before its commit was sent is answered as
//     aborted: its connection is closed, and the target rolls back.
package engine

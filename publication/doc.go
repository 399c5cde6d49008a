// Package publication is the state machine of a change of profiles:
//
//	draft -> checked -> reviewed by another person -> published -> retired
//
// Begin with Draft, Record and Accept. The functions do no I/O: they take the draft, the record in
// force, the actor and the time, and return the next draft or record, or a *RefusedError that names
// the violated rule. Package publication/store persists drafts and records in the platform's object
// store.
//
// The object profiles/current holds the record in force, including its text and its audit entry. A
// publish is one conditional update of this object, so it takes effect atomically or not at all. A
// review covers the exact text and the exact record that the text replaces; if another publish
// intervenes, the draft must be reviewed again.
//
// Daemons adopt a record only if Accept allows it, so that their generation never decreases.
package publication

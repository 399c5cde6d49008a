// Package publication is the state machine of a change of profiles:
//
//	draft -> checked -> reviewed by somebody else -> published -> retired
//
// It is pure. Its functions take the draft, the record in force, who acts and
// when, and return the next draft or record, or a *RefusedError that names the
// rule. Package publication/store keeps drafts and records in the platform.
//
// One object decides: profiles/current holds the record in force, text and
// audit act included. A publish is one conditional update of it, so it is
// accepted at one point in time or not at all. A review covers the exact text
// and the exact record that it replaces; when another publish came between, the
// draft must be reviewed again.
//
// Daemons take a record only as Accept says: generations never go back.
package publication

// Package dispatch runs statements at targets. A Runner sends them, and records
// what each answer shows: whether the target responds, and the end of its log.
// It does not choose targets, repeat statements or interpret outcomes; the session
// engine does.
//
// Local is the Runner over this VM's own connections. Package relay has one
// that sends statements through another VM, if connections are too few for each
// VM to hold its own. The type of an error says whether the statement was sent:
//
//   - *lane.UnavailableError and *SetupError: it was not sent;
//   - *LostError: it was sent, and no complete answer was received.
package dispatch

// Package dispatch runs statements at targets. The session engine decides what
// is sent where and what an outcome means; a Runner carries it there and keeps
// the accounts that every answer feeds: whether the target lives, and how far
// its log has come.
//
// Local is the Runner over this VM's own connections. Package relay has one
// that leads through another VM, where connections are too few for each VM to
// hold its own. An error says how much is known:
//
//   - *lane.UnavailableError and *SetupError: the statement was not sent;
//   - *LostError: it was sent, and no whole answer came.
package dispatch

// Package control maintains one control connection to each database server and shares it among all
// users: probes, acknowledgement gates, session floors and the commands of a promotion. Begin with
// Links, which returns the Link to a server. The package makes no control decisions.
//
// Connections to a server are scarce, so a daemon opens exactly one for control. Status queries
// are coalesced: a caller that requests a status while a query is in flight joins the next query,
// never the one in flight, because the reply must describe the server after the event that the
// caller waits for, such as a commit. One round trip therefore serves all commits of a group that
// finished in the meantime.
package control

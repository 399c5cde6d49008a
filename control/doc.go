// Package control holds one control connection to each database server and
// shares it among everything that asks: probes, acknowledgement gates, session
// floors and a promoter's orders.
//
// Connections to a server are scarce, so a daemon keeps exactly one for
// control. Status asks are coalesced: whoever asks while an ask is on the wire
// joins the next one, never the present one, because the answer must describe
// the server after the asker's own event (a commit, say). One round trip thus
// serves all commits of a group that finished meanwhile.
package control

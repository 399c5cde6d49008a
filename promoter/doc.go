// Package promoter carries out what package takeover decides: it watches the primaries of all
// services, queries a primary that seems unresponsive, and replaces one where package takeover
// gives a reason to. One Promoter runs on every VM. It does not decide which target leads after
// that; package leadership does.
package promoter

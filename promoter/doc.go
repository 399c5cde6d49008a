// Package promoter carries out what package takeover decides: it watches the
// primaries of all services, asks one that seems dead, and changes the primary
// when it has to. One Promoter runs on every VM.
package promoter

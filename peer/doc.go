// Package peer connects the daemons of one fleet over twirp (protobuf over
// HTTP, with mutual TLS when keys are set). What travels is in
// peerpb/peer.proto; what it means is decided by the controllers behind the
// Handler interface.
//
// Nothing here is all-to-all: an exchange goes to a bounded number of chosen
// VMs, and news travels on from those.
package peer

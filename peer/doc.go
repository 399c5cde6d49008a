// Package peer connects the daemons of one fleet over Twirp (protobuf over HTTP, with mutual TLS
// if keys are set). Begin with Clients and NewServer. The messages are defined in
// peerpb/peer.proto. The package does not interpret them: the controllers behind the Handler
// interface do.
//
// No communication is all-to-all: an exchange goes to a bounded number of chosen VMs, which
// forward the updates.
package peer

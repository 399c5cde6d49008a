// Package relaypb is generated from relay.proto: the messages between a VM that
// serves a consumer and a gateway.
package relaypb

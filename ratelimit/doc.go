// Package ratelimit decides how many operations of a workspace a fleet lets through:
// the workspace's rate and burst hold over all VMs together, without a coordinator.
//
// An Assignment names the owners of each workspace, Buckets hold the token buckets that
// this VM owns, and a TokenCache holds the tokens that owners granted to this VM. Requests
// to owners, their timeouts and the refusal of operations are the caller's part.
//
// # Design
//
// The limit of a workspace is divided into equal shares among a few VMs, its owners, in
// different availability zones. An owner keeps a token bucket for its share. A VM requests
// a token from an owner before it sends an operation to a target: from the nearest owner
// first, and from the others if that one has no token or does not reply. Two shares of
// three serve a workspace that needs less than two thirds of its limit while an owner is
// unavailable. Tokens expire shortly after they were requested.
//
// Only the owners enforce the limit, so that no schedule of restarts, network partitions
// and suspensions elsewhere creates more tokens:
//
//   - A VM that is partitioned, suspended or restarted has no tokens but those that an owner
//     granted to it, and they expire by a clock that counts while the VM is suspended.
//   - An owner that restarts begins with an almost empty bucket, whatever the burst.
//   - A VM that replaces an owner that is still alive waits until that owner has received
//     the new list, or else both would fill their buckets. An owner that leaves stops
//     granting before its entry is removed from the list.
//
// While a workspace exceeds its limit, an owner reserves tokens for its more urgent operations; see
// pressure.
//
// What a deployment tolerates above the limit covers the remaining excess: the lifetime of
// tokens, and the initial tokens of an owner that restarts.
//
// # Alternatives
//
// Equal shares for all VMs refuse most operations of a small workspace: at two operations a
// second, each of 76 VMs may let one through in 38 s. Shares that follow the demand that
// VMs report to each other lag behind the demand, and a partitioned VM must fall back to
// the equal share. Counting at the gateways to targets needs no message, but a workspace's
// operations spread over two gateways for each target, so that shares of the limit would
// have to follow its targets as well.
//
// The package is pure: it does no I/O, and the current time is passed in.
package ratelimit

// Package ratelimit decides how many operations of a workspace a fleet lets through:
// its rate and burst hold over all VMs together, without a coordinator.
//
// # Design
//
// The limit of a workspace is dealt in equal parts to few VMs, its owners, in
// different availability zones. An owner keeps a token bucket of its part. A VM asks
// an owner for a token before it sends an operation to a target, the nearest one
// first, and the others if that one has none or does not answer: two parts of three
// carry a workspace that asks for less than two thirds of its limit while an owner is
// away. Tokens lapse a moment after they were asked for.
//
// All that binds is in the owners, so that no schedule of restarts, cuts and freezes
// elsewhere makes more tokens:
//
//   - A VM that is cut off, frozen or starts anew has no tokens but those that an owner
//     gave it, and they lapse by a clock that counts while it is suspended.
//   - An owner that starts anew begins with an almost empty bucket, whatever the burst.
//   - A VM that becomes an owner in the place of another that lives waits until that one
//     has learned of it, or else both would fill their buckets. One that leaves stops
//     before its entry is taken off the list.
//
// What a deployment tolerates above the limit pays for what is left: the time for which
// tokens last, and the first tokens of an owner that starts anew.
//
// # Alternatives
//
// Equal parts for all VMs refuse most of a small workspace: of two operations a second
// each of 76 VMs may let one through in 38 s. Parts that follow the demand which VMs
// tell each other are right a moment later than the demand, and a VM that is cut off
// must fall back to the equal part. Counting at the gateways to targets needs no
// message, but a workspace's operations spread over two gateways for each target, so
// that parts of the limit would have to follow its targets as well.
//
// The package is pure.
package ratelimit

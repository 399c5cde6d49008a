// Package admission decides which request gets the next scarce slot of a
// target, and which is refused at once.
//
// A Queue serves one target on one proxy. It has a small number of slots and a
// bounded number of waiting requests, in one lane for each kind. When a slot
// becomes free a Policy chooses the lane whose first request goes next. The
// product has one, DelayRatio: the lane with the largest product of its first
// request's wait and the kind's worth, which keeps the delays of the kinds at
// fixed ratios whatever the arrival rates do. It is the head-of-line delay
// ratio rule (HLDR) of X. Sun and W. Whitt, "Delay-Based Service
// Differentiation in a Many-Server Queue with Time-Varying Arrival Rates".
// docs/MEASUREMENTS-LOAD.md compares it with first come first served, strict
// priority, fixed queue ratios and earliest deadline, which live in
// internal/experiment.
//
// A request that cannot be served is told so at once, never near its deadline,
// with a time to come back that is worked out from the measured drain rate:
//
//   - its deadline is nearer than the wait to be expected: refused when it comes;
//   - the queue is full: the least worthy waiting request, or the newcomer, is
//     refused;
//   - its deadline passed in the queue: refused when it passes.
//
// Slots adapts the number of slots around the target's known number by the
// latency that requests show.
//
// The package is pure. Package admission/limiter drives it with goroutines.
package admission

// Package admission decides which request gets the next free slot of a target, and which requests
// are refused immediately.
//
// A Queue serves one target on one proxy. It has a small number of slots and a bounded number of
// waiting requests, in one lane for each kind. When a slot becomes free, a Policy chooses the lane
// whose first request is served next. The production policy is DelayRatio: it chooses the lane with
// the largest product of its first request's wait and the kind's worth, which keeps the delays of the
// kinds at fixed ratios at any arrival rates. It is the head-of-line delay ratio rule (HLDR) of
// X. Sun and W. Whitt, "Delay-Based Service Differentiation in a Many-Server Queue with Time-Varying
// Arrival Rates". docs/MEASUREMENTS-LOAD.md compares it with first come first served, strict
// priority, fixed queue ratios and earliest deadline, which are implemented in internal/experiment.
//
// A request that cannot be served is refused as early as possible rather than near its deadline, with
// a retry-after time that is computed from the measured drain rate:
//
//   - if its deadline is earlier than the end of its expected wait, it is refused on arrival;
//   - if the queue is full, the waiting request of the lowest worth or the new request is refused;
//   - if its deadline passes in the queue, it is refused at that time.
//
// Slots adapts the number of slots, up to the target's known number, to the latency of requests.
//
// The package is deterministic and does no I/O. Package admission/limiter adds blocking calls and
// locks.
package admission

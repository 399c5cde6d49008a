// Package load compares the policies that hand out a target's scarce slots.
//
// One target with three slots serves four kinds of request of different worth,
// deadline and length, through the product's own admission.Queue; only the
// policy differs. Arrivals are Poisson processes whose rates follow a day, a
// spike, or an outage with callers that come back. All of it runs in virtual
// time from a seed.
//
// What counts is the worth of the requests that are answered within their
// deadline, over the worth of all that were made.
package load

// Package load compares the policies that allocate a target's scarce slots. Compare prints the
// tables; Run runs one Shape with one Setup.
//
// One target with three slots serves four kinds of request of different worth, deadline and service
// time, through the product's own admission.Queue; only the policy differs. Arrivals are Poisson
// processes whose rates follow a day, a spike, or an outage with callers that retry. Each run is in
// virtual time from a seed.
//
// The measure is the worth of the requests that are answered within their deadline, divided by the
// worth of all requests.
package load

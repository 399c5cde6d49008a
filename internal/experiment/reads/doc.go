// Package reads compares the policies that route reads to replicas. Compare and Sweep print the
// tables; Run runs one Scenario with one Setup.
//
// Eight proxies serve one group of three servers in three availability zones. Each server has three
// slots and a queue in order of arrival. Replicas apply the primary's log with a lag that varies
// around 200 ms. Each proxy sends status queries to the servers ten times a second and routes with
// the product's own Router; only the policy differs. Each run is in virtual time from a seed.
//
// Two checkers use the true state of the servers, not the proxies' evidence. One checks the age of
// the data at the time when the read was routed, according to the log itself. The other compares
// the replica's position when it ran the read with the position of the session's own last write.
package reads

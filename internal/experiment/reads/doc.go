// Package reads compares the policies that route reads to replicas.
//
// One group of three servers in three availability zones stands behind eight
// proxies. Each server has three slots and a queue in order of arrival;
// replicas apply the primary's log with a lag that wanders around 200 ms. Each
// proxy asks the servers for their status ten times a second, and routes by
// the product's own Router; only the policy differs. All of it runs in virtual
// time from a seed.
//
// Two judges look at what the servers did, not at what the proxies believed:
// the age of the data when the read was routed, from the log itself, and the
// position that the replica had when it ran the read against the session's
// own last write.
package reads

// Package statement defines the data model of the session engine: a Statement is a
// consumer's request, an Answer is the reply to it, and a Status is a target's status
// report. It contains no wire format; package platform/line encodes and decodes one.
package statement

// Package statement is the vocabulary of the session engine: what a consumer
// may ask, what a target answers, and the codes of both. It knows no wire
// format; package platform/line translates one.
package statement

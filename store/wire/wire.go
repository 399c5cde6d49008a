// Package wire holds what the HTTP/JSON client of the object API and the
// stand-in server share: paths, query parameters, headers and bodies. Values
// travel as base64 within JSON bodies, so that any bytes survive.
package wire

import (
	"fmt"

	"endivemoor.example/endivemoor/store"
)

// Paths of the object API.
const (
	PathObject = "/v1/object"
	PathList   = "/v1/list"
	PathWatch  = "/v1/watch"
	PathVMs    = "/v1/vms"
)

// Query parameters.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamExpect = "expect"
	ParamSince  = "since"
	// ParamWait is in milliseconds.
	ParamWait = "wait-ms"
)

// HeaderPurpose carries the call's store.Purpose.
const HeaderPurpose = "Endivemoor-Purpose"

// MaxBody bounds a request or response body of one object, in bytes: a value
// in base64 and its envelope.
const MaxBody = store.MaxValue*4/3 + 4096

// PutBody is the body of PUT /v1/object.
type PutBody struct {
	Value []byte `json:"value"`
}

// Written answers a PUT with the new version, and a conflict with the version
// that the object has.
type Written struct {
	Version store.Version `json:"version"`
}

// Objects answers a list or a watch.
type Objects struct {
	Objects []store.Object `json:"objects"`
	// Revision is where the next watch goes on from.
	Revision int64 `json:"revision"`
}

// VMs is the platform's list.
type VMs struct {
	VMs []store.VM `json:"vms"`
}

// TooLargeError refuses a value above store.MaxValue before it is sent.
type TooLargeError struct {
	Key  string
	Size int
}

// Error names the key and both sizes in bytes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s is %d bytes, the platform holds at most %d", e.Key, e.Size, store.MaxValue)
}

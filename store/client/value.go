package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/store"
)

// HeaderPurpose is the header with the call's store.Purpose, by which the stand-in counts calls.
const HeaderPurpose = "Endivemoor-Purpose"

// MaxBody bounds the size of a request's body in bytes: a value in base64 and 4096 bytes for its
// envelope.
const MaxBody = store.MaxValue*4/3 + 4096

// spec is the JSON form of an object's spec.
type spec struct {
	// Value is encoded as base64.
	Value []byte `json:"value"`
}

// EncodeValue returns the spec of an object that has the value.
func EncodeValue(value []byte) (json.RawMessage, error) {
	raw, err := json.Marshal(spec{Value: value})
	return raw, errors.Wrap(err, "encode value")
}

// DecodeValue returns the value of an object with the spec raw.
func DecodeValue(raw json.RawMessage) ([]byte, error) {
	var s spec
	err := json.Unmarshal(raw, &s)
	return s.Value, errors.Wrap(err, "decode value")
}

// kindPlain is the kind of objects whose key has no slash.
const kindPlain = "plain"

// SplitKey returns the kind and the name of the object with the key.
func SplitKey(key string) (kind, name string) {
	kind, name, ok := strings.Cut(key, "/")
	if !ok {
		return kindPlain, key
	}
	return kind, name
}

// JoinKey returns the key of the object with the kind and the name.
func JoinKey(kind, name string) string {
	if kind == kindPlain {
		return name
	}
	return kind + "/" + name
}

func valueOf(kind string, o *objects.Object) (store.Object, error) {
	value, err := DecodeValue(o.Spec)
	return store.Object{Key: JoinKey(kind, o.Meta.Name), Version: store.Version(o.Meta.Revision), Value: value}, err
}

// TooLargeError reports a value that is larger than store.MaxValue and was not sent.
type TooLargeError struct {
	Key  string
	Size int
}

// Error names the key and both sizes in bytes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s is %d bytes, the platform holds at most %d", e.Key, e.Size, store.MaxValue)
}

type purposeKey struct{}

func withPurpose(ctx context.Context, p store.Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// purposeTransport adds the purpose of each call to its headers.
type purposeTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t purposeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if p, ok := r.Context().Value(purposeKey{}).(store.Purpose); ok {
		r.Header.Set(HeaderPurpose, string(p))
	}
	return t.RoundTripper.RoundTrip(r)
}

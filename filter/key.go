package filter

import (
	"context"

	"endivemoor.example/endivemoor/profile"
)

// KeyPolicy enforces request keys.
type KeyPolicy struct{}

// Handle refuses a request without a key if its kind requires one: sending such a request again
// could run it twice. A read needs no key, and a read with a key would have to be treated as a
// write, so it is refused.
func (KeyPolicy) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	if !r.Executes {
		r.Tag.Key = ""
	}
	if r.Executes && r.Kind.Key == profile.KeyRequired && r.Tag.Key == "" {
		return Refusal(badTag("kind %q requires a request key", r.Kind.Name))
	}
	if r.Tag.Key != "" && r.Kind.Access == profile.Read {
		return Refusal(badTag("kind %q is a read and takes no request key", r.Kind.Name))
	}
	return next(ctx, r)
}

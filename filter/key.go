package filter

import (
	"context"

	"endivemoor.example/endivemoor/profile"
)

// KeyPolicy enforces request keys.
type KeyPolicy struct{}

// Handle refuses a request of a kind that requires a key and has none: it
// could not be asked for again without the risk of running twice. A read needs
// no key, and one that is sent with it would be a write.
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

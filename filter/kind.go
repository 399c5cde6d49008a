package filter

import (
	"context"
)

// Classifier finds the request's kind in the session's profile.
type Classifier struct{}

// Handle refuses a kind that the profile does not declare: any default would apply a deadline and a
// durability that nobody reviewed.
func (Classifier) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	r.Kind = r.Session.Profile.KindOf(r.Tag.Kind)
	if r.Kind == nil {
		return Refusal(badTag("profile %q declares no kind %q", r.Session.Profile.Name, r.Tag.Kind))
	}
	return next(ctx, r)
}

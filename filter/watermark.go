package filter

import "context"

// Watermarker raises the session's watermark.
type Watermarker struct{}

// Handle raises it by what was acknowledged, before the caller hears of it.
func (Watermarker) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	fail := next(ctx, r)
	if fail == nil && r.Committed {
		r.Session.Marks.Raise(r.Group.Name, r.Position)
		r.Session.Dirty = true
	}
	return fail
}

package filter

import "context"

// Watermarker raises the session's watermark.
type Watermarker struct{}

// Handle raises the watermark to the acknowledged position before the answer is sent to the caller.
func (Watermarker) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	fail := next(ctx, r)
	if fail == nil && r.Committed {
		r.Session.Watermarks.Raise(r.Group.Name, r.Position)
		r.Session.Dirty = true
	}
	return fail
}

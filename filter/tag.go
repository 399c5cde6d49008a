package filter

import (
	"context"
	"net/url"
	"strings"

	"endivemoor.example/endivemoor/outcome"
)

const (
	tagOpen  = "/*endivemoor "
	tagClose = "*/"
	tagKind  = "kind"
	tagKey   = "key"
	// MaxKey is the maximum length of a request key, in bytes.
	MaxKey = 200
)

// Tag is the information that a caller attaches to a statement in a leading SQL comment, such as
// "/*endivemoor kind=purchase&key=k7*/".
//
// The tag is a comment and not a SET statement or a startup option because it travels with the
// statement in one message. It can therefore neither be lost between two requests nor apply to the
// wrong one, and drivers pass it through unchanged.
type Tag struct {
	Kind string
	Key  string
}

// IsZero reports whether the tag is empty.
func (t Tag) IsZero() bool { return t == Tag{} }

// merge fills the empty fields of t from u. It reports false if the two contradict each other.
func (t Tag) merge(u Tag) (Tag, bool) {
	kind, okKind := either(t.Kind, u.Kind)
	key, okKey := either(t.Key, u.Key)
	return Tag{Kind: kind, Key: key}, okKind && okKey
}

func either(a, b string) (string, bool) {
	if a == "" {
		return b, true
	}
	return a, b == "" || a == b
}

// ParseTag splits a leading tag off sql. If there is none, the tag is zero and rest is sql itself.
// A malformed tag is reported as an *outcome.Error.
func ParseTag(sql string) (tag Tag, rest string, err *outcome.Error) {
	text := strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(text, tagOpen) {
		return Tag{}, sql, nil
	}
	content, rest, closed := strings.Cut(text[len(tagOpen):], tagClose)
	if !closed {
		return Tag{}, sql, badTag("tag comment is not closed")
	}
	values, perr := url.ParseQuery(strings.TrimSpace(content))
	if perr != nil {
		return Tag{}, sql, badTag("tag comment: %v", perr)
	}
	tag, err = tagOf(values)
	return tag, rest, err
}

func tagOf(values url.Values) (Tag, *outcome.Error) {
	for name, v := range values {
		if name != tagKind && name != tagKey {
			return Tag{}, badTag("tag comment: unknown parameter %q", name)
		}
		if len(v) != 1 || v[0] == "" {
			return Tag{}, badTag("tag comment: %q needs one value", name)
		}
	}
	t := Tag{Kind: values.Get(tagKind), Key: values.Get(tagKey)}
	if len(t.Key) > MaxKey {
		return Tag{}, badTag("request key is longer than %d bytes", MaxKey)
	}
	return t, nil
}

func badTag(format string, args ...any) *outcome.Error {
	return outcome.Refuse(outcome.CodeInvalidParameter, 0, format, args...)
}

// Tagger merges the tags of a request's statements into one.
type Tagger struct{}

// Handle refuses a request whose statements carry contradicting tags: it runs as one transaction at
// one server, so it has one kind and one key.
func (Tagger) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	for _, t := range r.Tags {
		merged, ok := r.Tag.merge(t)
		if !ok {
			return Refusal(badTag("statements of one request carry different tags"))
		}
		r.Tag = merged
	}
	return next(ctx, r)
}

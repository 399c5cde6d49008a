package engine

import (
	"context"

	"github.com/pkg/errors"
)

// hasLeft reports whether a statement's consumer has left: only that cancels its context, and its
// time ends with the deadline.
func hasLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

package lane

import (
	"context"

	"github.com/pkg/errors"
)

// ErrExpired is returned for a command that was not sent because its sender's authority has expired.
var ErrExpired = errors.New("not sent: the authority for the command has expired")

type expiryKey struct{}

// WithExpiry returns a context for commands that must not be sent any more once expired returns true.
//
// Failure guarded against: a VM is suspended while its command waits for a connection. The command is sent
// when the VM wakes, and undoes what another VM has done meanwhile.
func WithExpiry(ctx context.Context, expired func() bool) context.Context {
	return context.WithValue(ctx, expiryKey{}, expired)
}

// Expired reports whether a context is from WithExpiry and its commands must not be sent any more.
func Expired(ctx context.Context) bool {
	expired, ok := ctx.Value(expiryKey{}).(func() bool)
	return ok && expired()
}

package session

// Fault says why a token was refused.
type Fault uint8

const (
	// FaultMalformed means that it is no token of ours, or too large.
	FaultMalformed Fault = iota
	// FaultForged means that its signature does not match its key.
	FaultForged
	// FaultUnknownKey means that its key was never added or is removed.
	FaultUnknownKey
	// FaultExpired means that it is past its life.
	FaultExpired
	// FaultOtherUser means that it was issued to another user.
	FaultOtherUser
)

// String returns the fault's name in logs.
func (f Fault) String() string {
	switch f {
	case FaultForged:
		return "forged"
	case FaultUnknownKey:
		return "unknown-key"
	case FaultExpired:
		return "expired"
	case FaultOtherUser:
		return "other-user"
	default:
		return "malformed"
	}
}

// TokenError is the refusal of a token.
type TokenError struct {
	Fault Fault
	// KeyID is the key named by the token; empty if it names none.
	KeyID string
	cause error
}

// Error names the fault, but nothing of the token's content.
func (e *TokenError) Error() string { return "session token refused: " + e.Fault.String() }

// Unwrap returns the parser's error, if any.
func (e *TokenError) Unwrap() error { return e.cause }

// KeyError says that a set of signing keys cannot be used.
type KeyError struct {
	KeyID  string
	Reason string
}

// Error names the key and the reason.
func (e *KeyError) Error() string { return "signing key " + e.KeyID + ": " + e.Reason }

// SizeError says that a session's marks do not fit into a token. Dropping some
// would break read-your-writes silently, so Issue refuses instead.
type SizeError struct {
	Groups int
	Bytes  int
}

// Error states the limit that was passed.
func (e *SizeError) Error() string { return "session marks do not fit into a token" }

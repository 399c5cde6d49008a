package session

// Fault is the reason why a token was refused.
type Fault uint8

const (
	// FaultMalformed means that the text is not a token of this format, or is too large.
	FaultMalformed Fault = iota
	// FaultForged means that its signature does not match its key.
	FaultForged
	// FaultUnknownKey means that the token's key was never added or has been removed.
	FaultUnknownKey
	// FaultExpired means that the token's lifetime has ended.
	FaultExpired
	// FaultOtherUser means that the token was issued to another user.
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
	// KeyID is the key that the token names; empty if it names none.
	KeyID string
	cause error
}

// Error returns the fault, but none of the token's content.
func (e *TokenError) Error() string { return "session token refused: " + e.Fault.String() }

// Unwrap returns the parser's error, if any.
func (e *TokenError) Unwrap() error { return e.cause }

// KeyError means that a set of signing keys cannot be used.
type KeyError struct {
	KeyID  string
	Reason string
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return "signing key " + e.KeyID + ": " + e.Reason }

// SizeError means that a session's watermarks do not fit into a token. Dropping some would silently
// break read-your-writes, so Issue refuses instead.
type SizeError struct {
	Groups int
	Bytes  int
}

// Error returns a fixed text; Groups and Bytes state what exceeded the limit.
func (e *SizeError) Error() string { return "session watermarks do not fit into a token" }

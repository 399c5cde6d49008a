package session

import (
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

const (
	// MinKeyBytes is the minimum length of a signing secret: the output size of the hash, as RFC
	// 2104 recommends.
	MinKeyBytes = 32
	// MaxTokenBytes is the maximum size of a token. A startup message is limited to 10,000 bytes.
	MaxTokenBytes = 4096
	// MaxGroups is the maximum number of groups in one token.
	MaxGroups = 32
	// TokenLifetime is the time for which a token is accepted. An expired token costs its caller a
	// query to the primary, never a stale read.
	TokenLifetime = 7 * 24 * time.Hour
)

// keyRing is an immutable set of keys.
type keyRing struct {
	active  string
	secrets map[string][]byte
}

// Keys signs and verifies tokens. It is safe for concurrent use: the whole set of keys is replaced
// atomically.
type Keys struct {
	ring atomic.Pointer[keyRing]
}

// NewKeys returns Keys that sign with the active one of the given secrets, by key id, and verify
// with all of them. The error is a *KeyError.
func NewKeys(active string, keys map[string][]byte) (*Keys, error) {
	k := &Keys{}
	if err := k.Replace(active, keys); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace installs a new set of keys. On error the present set remains in use.
func (k *Keys) Replace(active string, keys map[string][]byte) error {
	if _, ok := keys[active]; !ok {
		return &KeyError{KeyID: active, Reason: "the active key is not in the set"}
	}
	for id, secret := range keys {
		if id == "" {
			return &KeyError{Reason: "a key needs an id"}
		}
		if len(secret) < MinKeyBytes {
			return &KeyError{KeyID: id, Reason: "shorter than 32 bytes"}
		}
	}
	k.ring.Store(&keyRing{active: active, secrets: maps.Clone(keys)})
	return nil
}

// claims is the content of a token.
type claims struct {
	jwt.RegisteredClaims
	Watermarks Watermarks `json:"marks"`
}

// Issue returns a token that holds m, signed for user. The error is a *SizeError if m is too large.
func (k *Keys) Issue(user string, m Watermarks, now time.Time) (string, error) {
	if len(m) > MaxGroups {
		return "", &SizeError{Groups: len(m)}
	}
	ring := k.ring.Load()
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   user,
			ExpiresAt: jwt.NewNumericDate(now.Add(TokenLifetime)),
		},
		Watermarks: m,
	})
	token.Header["kid"] = ring.active
	signed, err := token.SignedString(ring.secrets[ring.active])
	if err != nil {
		return "", err
	}
	if len(signed) > MaxTokenBytes {
		return "", &SizeError{Groups: len(m), Bytes: len(signed)}
	}
	return signed, nil
}

// Verify returns the watermarks of a token that was issued to user and has not expired. The error
// is a *TokenError.
//
// The algorithm is fixed. The usual forgery of this format is a token that names another algorithm,
// such as "none"; it is refused.
func (k *Keys) Verify(token, user string, now time.Time) (Watermarks, error) {
	if len(token) > MaxTokenBytes {
		return nil, &TokenError{Fault: FaultMalformed}
	}
	ring := k.ring.Load()
	var content claims
	parser := jwt.NewParser(
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithTimeFunc(func() time.Time { return now }),
		jwt.WithExpirationRequired(),
		jwt.WithStrictDecoding(),
	)
	parsed, err := parser.ParseWithClaims(token, &content, ring.secretOf)
	if err != nil {
		return nil, refusal(parsed, err)
	}
	if content.Subject != user {
		return nil, &TokenError{Fault: FaultOtherUser, KeyID: keyID(parsed)}
	}
	if len(content.Watermarks) > MaxGroups {
		return nil, &TokenError{Fault: FaultMalformed, KeyID: keyID(parsed)}
	}
	if content.Watermarks == nil {
		return Watermarks{}, nil
	}
	return content.Watermarks, nil
}

var errUnknownKey = errors.New("unknown key")

// secretOf returns the secret of the key that the token names.
func (r *keyRing) secretOf(t *jwt.Token) (any, error) {
	secret, ok := r.secrets[keyID(t)]
	if !ok {
		return nil, errUnknownKey
	}
	return secret, nil
}

func keyID(t *jwt.Token) string {
	if t == nil {
		return ""
	}
	id, _ := t.Header["kid"].(string)
	return id
}

// refusal maps the library's errors to a Fault. The order matters: the library verifies the
// signature before the claims, so FaultExpired is returned only for a token that this fleet signed.
func refusal(t *jwt.Token, err error) *TokenError {
	e := &TokenError{Fault: FaultMalformed, KeyID: keyID(t), cause: err}
	switch {
	case errors.Is(err, errUnknownKey):
		e.Fault = FaultUnknownKey
	case errors.Is(err, jwt.ErrTokenMalformed):
		e.Fault = FaultMalformed
	case errors.Is(err, jwt.ErrTokenSignatureInvalid):
		e.Fault = FaultForged
	case errors.Is(err, jwt.ErrTokenExpired):
		e.Fault = FaultExpired
	}
	return e
}

package profile

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the hex SHA-256 of a set's text. It identifies the text in reviews, in the audit
// trail and in messages between daemons.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

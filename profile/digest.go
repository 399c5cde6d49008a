package profile

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the hex SHA-256 of a set's text. It names the text in reviews, in
// the audit trail and between daemons.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

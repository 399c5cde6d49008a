package proxy

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	verifierPrefix = "SCRAM-SHA-256$"
	// keyLen is the length of SHA-256 keys, in bytes.
	keyLen = 32
	// minIterations is the lowest iteration count that clients accept (RFC 7677).
	minIterations = 4096
)

// StaticUsers is a fixed set of users.
type StaticUsers map[string]scram.StoredCredentials

// Lookup implements Users.
func (u StaticUsers) Lookup(user string) (scram.StoredCredentials, bool) {
	c, ok := u[user]
	return c, ok
}

// ParseVerifier reads PostgreSQL's stored form of a password,
// "SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>", with the salt and keys in base64.
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	rest, ok := strings.CutPrefix(s, verifierPrefix)
	factors, keys, ok2 := strings.Cut(rest, "$")
	iters, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return c, errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$stored:server")
	}
	n, err := strconv.Atoi(iters)
	if err != nil || n < minIterations {
		return c, errors.Errorf("verifier needs at least %d iterations", minIterations)
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return c, errors.Wrap(err, "verifier's salt")
	}
	c.KeyFactors = scram.KeyFactors{Salt: string(rawSalt), Iters: n}
	if c.StoredKey, err = decodeKey(stored); err != nil {
		return c, errors.Wrap(err, "verifier's stored key")
	}
	c.ServerKey, err = decodeKey(server)
	return c, errors.Wrap(err, "verifier's server key")
}

func decodeKey(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err == nil && len(b) != keyLen {
		err = errors.Errorf("key has %d bytes, not %d", len(b), keyLen)
	}
	return b, err
}

// NewVerifier returns the stored form of a password, for settings and tests.
func NewVerifier(password, salt string, iterations int) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "derive keys")
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, iterations, enc([]byte(salt)), enc(c.StoredKey), enc(c.ServerKey)), nil
}

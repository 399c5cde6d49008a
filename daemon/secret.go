package daemon

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	scramIterations = 4096
	scramSaltBytes  = 16
)

// scramSecret derives the stored form of a password, as PostgreSQL writes it:
// SCRAM-SHA-256$iterations:salt$stored-key:server-key.
func scramSecret(password string) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	salt := make([]byte, scramSaltBytes)
	if _, err = rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "salt")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", errors.Wrap(err, "derive")
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", scramIterations, enc(salt), enc(c.StoredKey), enc(c.ServerKey)), nil
}

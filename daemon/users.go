package daemon

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"endivemoor.example/endivemoor/proxy"
)

// users is the set of callers' logins. A reload replaces it as a whole.
type users struct {
	current atomic.Pointer[proxy.StaticUsers]
}

func newUsers(secrets map[string]string) (*users, error) {
	first, err := parseUsers(secrets)
	if err != nil {
		return nil, err
	}
	u := &users{}
	u.current.Store(&first)
	return u, nil
}

func parseUsers(secrets map[string]string) (proxy.StaticUsers, error) {
	out := proxy.StaticUsers{}
	for name, secret := range secrets {
		c, err := proxy.ParseVerifier(secret)
		if err != nil {
			return nil, errors.Wrapf(err, "user %s", name)
		}
		out[name] = c
	}
	return out, nil
}

// Lookup implements proxy.Users.
func (u *users) Lookup(name string) (scram.StoredCredentials, bool) {
	return u.current.Load().Lookup(name)
}

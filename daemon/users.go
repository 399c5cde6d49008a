package daemon

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"endivemoor.example/endivemoor/proxy"
)

// users is the set of callers' logins; a reload swaps it as a whole.
type users struct {
	now atomic.Pointer[proxy.StaticUsers]
}

func newUsers(secrets map[string]string) (*users, error) {
	u := &users{}
	return u, u.replace(secrets)
}

// replace swaps in new logins; on error the present ones stay.
func (u *users) replace(secrets map[string]string) error {
	next := proxy.StaticUsers{}
	for name, secret := range secrets {
		c, err := proxy.ParseVerifier(secret)
		if err != nil {
			return errors.Wrapf(err, "user %s", name)
		}
		next[name] = c
	}
	u.now.Store(&next)
	return nil
}

// Lookup implements proxy.Users.
func (u *users) Lookup(name string) (scram.StoredCredentials, bool) { return u.now.Load().Lookup(name) }

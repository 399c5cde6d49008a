package gossip

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// branchFrom is the number of peers from which some are asked through others.
	// Below it the calls of one VM are few: 127 connections are some 4 MB.
	branchFrom = 128
	// maxBranch bounds what a VM asks for another: enough for a fleet of 65,000.
	maxBranch = 256
	// leafTimeout bounds a call on another VM's behalf. It is below what that VM
	// is given for all of them, or one silent peer would silence a whole branch.
	leafTimeout = 150 * time.Millisecond
)

// Revocation ends permissions to take a primary for unchanged without asking.
type Revocation struct {
	Service string
	// Revision is that of the attempt's record.
	Revision int64
	// Deposed is the primary that is to be replaced.
	Deposed target.ID
}

// Revoked is what came of a Revocation.
type Revoked struct {
	// Acknowledged is the latest position that anybody who answered knows to be
	// acknowledged: a new primary must hold it.
	Acknowledged timeline.Position
	// Unanswered are the peers, by address, that may still hold a permission, and
	// why they are not known to have given it up.
	Unanswered map[string]error
}

func unanswered(addr string, cause error) Revoked {
	return Revoked{Unanswered: map[string]error{addr: cause}}
}

func (r *Revoked) add(o Revoked) {
	r.Acknowledged = timeline.Later(r.Acknowledged, o.Acknowledged)
	maps.Copy(r.Unanswered, o.Unanswered)
}

// RevokeAll asks all peers to give up their permissions.
//
// In a large fleet it asks some, each of which asks a branch of the others: calls by
// one VM grow with the square root of the fleet. A peer counts as answered only if it
// was itself asked and gave up its permission, whoever asked it.
func (c *Clients) RevokeAll(ctx context.Context, addrs []string, r Revocation) Revoked {
	if len(addrs) < branchFrom {
		return c.revokeEach(ctx, addrs, r)
	}
	return gather(branches(addrs), func(branch []string) Revoked { return c.revokeBranch(ctx, branch, r) })
}

// branches cuts a list into about as many parts as each part has entries.
func branches(addrs []string) [][]string {
	size := min(int(math.Ceil(math.Sqrt(float64(len(addrs))))), maxBranch)
	var out [][]string
	for len(addrs) > size {
		out = append(out, addrs[:size])
		addrs = addrs[size:]
	}
	return append(out, addrs)
}

// revokeBranch asks the first peer of a branch, and the others through it.
//
// Failure guarded against: a first peer that is dead, or of a version that does not
// forward. The others would keep their permissions, and pass for asked. So what it
// does not answer for is asked directly; what is not asked is not answered.
func (c *Clients) revokeBranch(ctx context.Context, branch []string, r Revocation) Revoked {
	first, rest := branch[0], branch[1:]
	out, forwarded, err := c.revoke(ctx, first, rest, r)
	if err != nil {
		out = unanswered(first, err)
	}
	if !forwarded {
		out.add(c.revokeEach(ctx, rest, r))
	}
	return out
}

// revokeLeaves asks peers on another VM's behalf.
func (c *Clients) revokeLeaves(ctx context.Context, addrs []string, r Revocation) Revoked {
	ctx, cancel := context.WithTimeout(ctx, leafTimeout)
	defer cancel()
	return c.revokeEach(ctx, addrs, r)
}

// revokeEach asks each peer itself.
func (c *Clients) revokeEach(ctx context.Context, addrs []string, r Revocation) Revoked {
	return gather(addrs, func(addr string) Revoked {
		out, _, err := c.revoke(ctx, addr, nil, r)
		if err != nil {
			return unanswered(addr, err)
		}
		return out
	})
}

// gather asks for all items at once and joins what comes of it.
func gather[T any](items []T, ask func(T) Revoked) Revoked {
	var mu sync.Mutex
	all := Revoked{Unanswered: make(map[string]error)}
	var wg sync.WaitGroup
	for _, item := range items {
		wg.Go(func() {
			out := ask(item)
			mu.Lock()
			defer mu.Unlock()
			all.add(out)
		})
	}
	wg.Wait()
	return all
}

// revoke makes one call. It reports whether the peer has asked all the others.
func (c *Clients) revoke(ctx context.Context, addr string, forward []string, r Revocation) (Revoked, bool, error) {
	in := &gossippb.RevokeRequest{Service: r.Service, Revision: r.Revision, Deposed: string(r.Deposed), Forward: forward}
	out, err := c.client(addr).Revoke(ctx, in)
	if err != nil {
		return Revoked{}, false, errors.Wrapf(err, "revoke at %s", addr)
	}
	revoked := Revoked{Acknowledged: position(out.GetAcknowledgedTerm(), out.GetAcknowledgedNumber()), Unanswered: make(map[string]error)}
	for _, leaf := range out.GetUnanswered() {
		revoked.Unanswered[leaf] = errors.Errorf("did not answer %s", addr)
	}
	return revoked, int(out.GetForwarded()) == len(forward), nil
}

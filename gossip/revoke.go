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
	// branchFrom is the number of peers from which revocations are forwarded by some of the peers.
	// Below it one VM can afford to call every peer: 127 connections take some 4 MB.
	branchFrom = 128
	// maxBranch bounds the peers that one VM forwards to: enough for a fleet of 65,000.
	maxBranch = 256
	// leafTimeout bounds a forwarded call. It is shorter than the timeout of the call that requests
	// the forwarding; otherwise one unresponsive peer would make a whole branch unanswered.
	leafTimeout = 150 * time.Millisecond
)

// Revocation ends the read permissions on a primary, which let a VM assume the primary unchanged
// without a query.
type Revocation struct {
	Service string
	// Revision is the revision of the promotion attempt's record.
	Revision int64
	// Deposed is the primary being replaced.
	Deposed target.ID
}

// RevokeResult is the result of a Revocation.
type RevokeResult struct {
	// Acknowledged is the latest position that any peer that replied has recorded as acknowledged:
	// a new primary must hold it.
	Acknowledged timeline.Position
	// Unanswered are the peers, by address, that may still hold a permission, with the error that
	// left it open whether they gave it up.
	Unanswered map[string]error
}

func unanswered(addr string, cause error) RevokeResult {
	return RevokeResult{Unanswered: map[string]error{addr: cause}}
}

func (r *RevokeResult) add(o RevokeResult) {
	r.Acknowledged = timeline.Later(r.Acknowledged, o.Acknowledged)
	maps.Copy(r.Unanswered, o.Unanswered)
}

// RevokeAll requests all peers to give up their permissions.
//
// In a large fleet it calls some of the peers, each of which forwards the revocation to a branch of
// the others, so that the calls of one VM grow with the square root of the fleet. A peer counts as
// answered only if it received the revocation itself, directly or forwarded, and gave up its
// permission.
func (c *Clients) RevokeAll(ctx context.Context, addrs []string, r Revocation) RevokeResult {
	if len(addrs) < branchFrom {
		return c.revokeEach(ctx, addrs, r)
	}
	return gather(branches(addrs), func(branch []string) RevokeResult { return c.revokeBranch(ctx, branch, r) })
}

// branches splits a list into about as many branches as each branch has entries.
func branches(addrs []string) [][]string {
	size := min(int(math.Ceil(math.Sqrt(float64(len(addrs))))), maxBranch)
	var out [][]string
	for len(addrs) > size {
		out = append(out, addrs[:size])
		addrs = addrs[size:]
	}
	return append(out, addrs)
}

// revokeBranch calls the first peer of a branch, which forwards the revocation to the others.
//
// Failure guarded against: the first peer is dead, or of a version that does not forward, and the
// others count as answered while they keep their permissions. So the caller calls the others
// directly unless the first peer reports that it has forwarded to all of them, and a peer that was
// not called does not count as answered.
func (c *Clients) revokeBranch(ctx context.Context, branch []string, r Revocation) RevokeResult {
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

// revokeLeaves calls peers on another VM's behalf.
func (c *Clients) revokeLeaves(ctx context.Context, addrs []string, r Revocation) RevokeResult {
	ctx, cancel := context.WithTimeout(ctx, leafTimeout)
	defer cancel()
	return c.revokeEach(ctx, addrs, r)
}

// revokeEach calls each peer directly.
func (c *Clients) revokeEach(ctx context.Context, addrs []string, r Revocation) RevokeResult {
	return gather(addrs, func(addr string) RevokeResult {
		out, _, err := c.revoke(ctx, addr, nil, r)
		if err != nil {
			return unanswered(addr, err)
		}
		return out
	})
}

// gather calls revoke for all items concurrently and merges the results.
func gather[T any](items []T, revoke func(T) RevokeResult) RevokeResult {
	var mu sync.Mutex
	all := RevokeResult{Unanswered: make(map[string]error)}
	var wg sync.WaitGroup
	for _, item := range items {
		wg.Go(func() {
			out := revoke(item)
			mu.Lock()
			defer mu.Unlock()
			all.add(out)
		})
	}
	wg.Wait()
	return all
}

// revoke makes one call. It reports whether the peer has called all peers in forward.
func (c *Clients) revoke(ctx context.Context, addr string, forward []string, r Revocation) (RevokeResult, bool, error) {
	in := &gossippb.RevokeRequest{Service: r.Service, Revision: r.Revision, Deposed: string(r.Deposed), Forward: forward}
	out, err := c.client(addr).Revoke(ctx, in)
	if err != nil {
		return RevokeResult{}, false, errors.Wrapf(err, "revoke at %s", addr)
	}
	revoked := RevokeResult{Acknowledged: position(out.GetAcknowledgedTerm(), out.GetAcknowledgedNumber()), Unanswered: make(map[string]error)}
	for _, leaf := range out.GetUnanswered() {
		revoked.Unanswered[leaf] = errors.Errorf("no reply to the revocation that %s forwarded", addr)
	}
	return revoked, int(out.GetForwarded()) == len(forward), nil
}

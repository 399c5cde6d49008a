package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	// tokenLifetime is how long a token is valid, counted from the time of the request for
	// it. Within a window, the excess over the limit is at most what a workspace is granted
	// in this time.
	tokenLifetime = 200 * time.Millisecond
	// maxTokensPerRequest bounds the tokens that are requested at once.
	maxTokensPerRequest = 64
	// demandWindow is the time over which a VM averages a workspace's demand.
	demandWindow = time.Second
	// maxBackoff bounds the time for which a VM requests no tokens after no owner had any.
	maxBackoff = 300 * time.Millisecond
)

// TokenCache holds the tokens that owners granted to this VM. It is not safe for concurrent
// use.
type TokenCache struct {
	entries map[string]*entry
}

type entry struct {
	tokens []grant
	// demand is the average number of operations requested per second, as of demandAt.
	demand       float64
	demandAt     clock.Time
	backoffUntil clock.Time // no tokens are requested until then
}

// grant is a number of tokens that expire at the same time.
type grant struct {
	count     int
	expiresAt clock.Time
}

// NewTokenCache returns an empty TokenCache.
func NewTokenCache() *TokenCache { return &TokenCache{entries: make(map[string]*entry)} }

func (c *TokenCache) entry(workspace string) *entry {
	e := c.entries[workspace]
	if e == nil {
		e = &entry{}
		c.entries[workspace] = e
	}
	return e
}

// RecordOperation counts an operation of a workspace towards its demand.
func (c *TokenCache) RecordOperation(now clock.Time, workspace string) {
	e := c.entry(workspace)
	e.demand = e.demand*decay(now, e.demandAt) + 1/demandWindow.Seconds()
	e.demandAt = now
}

func decay(now, at clock.Time) float64 {
	if at == 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(at)) / float64(demandWindow))
}

// Spend takes a token. It returns false if there is no valid one.
func (c *TokenCache) Spend(now clock.Time, workspace string) bool {
	e := c.entry(workspace)
	for len(e.tokens) > 0 {
		first := &e.tokens[0]
		if now.Before(first.expiresAt) && first.count > 0 {
			first.count--
			return true
		}
		e.tokens = e.tokens[1:]
	}
	return false
}

// Want returns how many tokens to request: as many as are needed before they expire.
func (c *TokenCache) Want(now clock.Time, workspace string) int {
	e := c.entry(workspace)
	return min(1+int(e.demand*decay(now, e.demandAt)*tokenLifetime.Seconds()), maxTokensPerRequest)
}

// Put adds tokens that were requested at the given time.
func (c *TokenCache) Put(workspace string, asked clock.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	e := c.entry(workspace)
	e.tokens = append(e.tokens, grant{count: tokens, expiresAt: asked.Add(tokenLifetime)})
	e.backoffUntil = 0
}

// Return gives back a token that was not used. It expires with the oldest cached ones.
func (c *TokenCache) Return(workspace string) {
	if e := c.entry(workspace); len(e.tokens) > 0 {
		e.tokens[0].count++
	}
}

// BackOff records that no owner has a token, and the retry-after that the owners returned.
func (c *TokenCache) BackOff(now clock.Time, workspace string, retryAfter time.Duration) {
	c.entry(workspace).backoffUntil = now.Add(min(retryAfter, maxBackoff))
}

// BackoffRemaining returns for how long no tokens are to be requested; 0 if they may be.
func (c *TokenCache) BackoffRemaining(now clock.Time, workspace string) time.Duration {
	return max(c.entry(workspace).backoffUntil.Sub(now), 0)
}

// Retain drops the tokens of workspaces that are not in known.
func (c *TokenCache) Retain(known map[string]*catalog.Workspace) {
	for name := range c.entries {
		if known[name] == nil {
			delete(c.entries, name)
		}
	}
}

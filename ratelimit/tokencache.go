package ratelimit

import (
	"slices"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/retryafter"
)

const (
	// tokenLifetime is how long a token is valid, counted from the time of the request for
	// it. Within a window, the excess over the limit is at most what a workspace is granted
	// in this time.
	tokenLifetime = 200 * time.Millisecond
	// earmarkTime is how long a token serves only operations at least as urgent as the one that
	// it was requested for. It leaves time to spend the token otherwise before it expires.
	earmarkTime = tokenLifetime / 2
	// maxTokensPerRequest bounds the tokens that are requested at once.
	maxTokensPerRequest = 64
	// demandWindow is the time over which a VM averages a workspace's demand.
	demandWindow = time.Second
	// minBackoff and maxBackoff bound the time for which a VM requests no tokens after no owner
	// had any.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// requestsPerToken is how many requests an owner receives for each token that it creates while
	// all VMs have operations that need one. With fewer, tokens are lost if the bucket is small.
	requestsPerToken = 2
)

// TokenCache holds the tokens that owners granted to this VM. It is not safe for concurrent
// use.
type TokenCache struct {
	entries map[string]*entry
	// expired counts the tokens that expired since the last call of TakeExpired.
	expired int
}

type entry struct {
	tokens []grant
	// demand is the average number of operations a second, in total and by priority.
	demand   average
	demandBy [priorities]average
	// backoff is what owners last replied to requests of each priority that got no token.
	backoff [priorities]backoff
	returns retryafter.Schedule
}

// backoff is the time until which no tokens are requested for operations of a priority and those
// that are less urgent, and the time between two tokens from then on.
type backoff struct {
	until    clock.Time
	interval time.Duration
}

// grant is a number of tokens that expire at the same time. Without tokens it is kept until then,
// because some may be returned.
type grant struct {
	count     int
	expiresAt clock.Time
	// priority is the lowest that the tokens serve until anyPriorityAt.
	priority      int
	anyPriorityAt clock.Time
}

func (g *grant) serves(now clock.Time, priority int) bool {
	return g.count > 0 && now.Before(g.expiresAt) && (priority <= g.priority || !now.Before(g.anyPriorityAt))
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
func (c *TokenCache) RecordOperation(now clock.Time, workspace string, priority int) {
	e := c.entry(workspace)
	e.demand.record(now, 1, demandWindow)
	e.demandBy[clampPriority(priority)].record(now, 1, demandWindow)
}

// Spend takes a token for an operation of a priority. It returns false if there is no valid one.
func (c *TokenCache) Spend(now clock.Time, workspace string, priority int) bool {
	e := c.entry(workspace)
	for len(e.tokens) > 0 && !now.Before(e.tokens[0].expiresAt) {
		c.expired += e.tokens[0].count
		e.tokens = e.tokens[1:]
	}
	for i := range e.tokens {
		if g := &e.tokens[i]; g.serves(now, clampPriority(priority)) {
			g.count--
			return true
		}
	}
	return false
}

// TakeExpired returns how many tokens were found expired since the last call.
func (c *TokenCache) TakeExpired() int {
	n := c.expired
	c.expired = 0
	return n
}

// Request returns the request for tokens for an operation of a priority: as many tokens as are
// needed before they expire. Beyond the limit, each that expires is lost to another operation, so
// that it asks for no more than are needed in half of that time.
func (c *TokenCache) Request(now clock.Time, workspace string, priority int) Request {
	e := c.entry(workspace)
	priority = clampPriority(priority)
	return Request{Want: needed(now, &e.demand, tokenLifetime), Priority: priority, Operations: needed(now, &e.demandBy[priority], earmarkTime)}
}

// needed returns how many tokens an operation and those that follow within a time need.
func needed(now clock.Time, demand *average, within time.Duration) int {
	return min(1+int(demand.value(now, demandWindow)*within.Seconds()), maxTokensPerRequest)
}

// Put adds the tokens of a reply to a request that was sent at the given time. Beyond the limit,
// they are earmarked for operations that are at least as urgent.
func (c *TokenCache) Put(workspace string, asked clock.Time, r Request, reply Reply) {
	if reply.Tokens <= 0 {
		return
	}
	e := c.entry(workspace)
	g := grant{count: reply.Tokens, expiresAt: asked.Add(tokenLifetime), priority: LowestPriority}
	if reply.Interval > 0 {
		g.priority, g.anyPriorityAt = r.Priority, asked.Add(earmarkTime)
	}
	e.tokens = append(e.tokens, g)
	clear(e.backoff[:g.priority+1])
}

// Return gives back a token that was not used. It expires with the oldest cached ones, or with the
// latest grant if all others are spent.
func (c *TokenCache) Return(workspace string) {
	e := c.entry(workspace)
	if len(e.tokens) == 0 {
		return
	}
	i := slices.IndexFunc(e.tokens, func(g grant) bool { return g.count > 0 })
	if i < 0 {
		i = len(e.tokens) - 1
	}
	e.tokens[i].count++
}

// BackOff records that no owner has a token for a request, and the owners' reply. The fewer VMs
// there are, the sooner each has to ask again, so that some VM asks for each token.
func (c *TokenCache) BackOff(now clock.Time, w *catalog.Workspace, vms int, r Request, reply Reply) {
	longest := cappedSeconds(float64(vms) * ownersPerWorkspace / (requestsPerToken * max(w.Rate, 0)))
	longest = min(max(longest, minBackoff), maxBackoff)
	c.entry(w.Name).backoff[r.Priority] = backoff{until: now.Add(min(reply.RetryAfter, longest)), interval: reply.Interval}
}

// RetryAfter returns the retry-after of an operation for which no tokens are to be requested yet;
// 0 if they may be requested. Operations that are refused meanwhile return one after the other.
func (c *TokenCache) RetryAfter(now clock.Time, workspace string, priority int) time.Duration {
	e := c.entry(workspace)
	priority = clampPriority(priority)
	var last backoff
	for _, b := range e.backoff[:priority+1] {
		if b.until > last.until {
			last = b
		}
	}
	if !now.Before(last.until) {
		return 0
	}
	return max(e.returns.Next(now, priority, retryafter.Terms{First: last.until.Sub(now), Interval: last.interval, Max: maxRetryAfter}), 1)
}

// Retain drops the tokens of workspaces that are not in known.
func (c *TokenCache) Retain(known map[string]*catalog.Workspace) {
	for name := range c.entries {
		if known[name] == nil {
			delete(c.entries, name)
		}
	}
}

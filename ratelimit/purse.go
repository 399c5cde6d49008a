package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	// tokenLife is how long a token lasts, counted from the question that brought it.
	// Within a window as much more may be let through as a workspace is granted in this
	// time.
	tokenLife = 200 * time.Millisecond
	// maxTokens bounds those that are asked for at once.
	maxTokens = 64
	// demandOver is the time over which a VM averages what a workspace asks of it.
	demandOver = time.Second
	// maxClosed bounds the time for which a VM asks no owner after all had none.
	maxClosed = 300 * time.Millisecond
)

// Purse keeps the tokens that a VM was given. It is for one goroutine at a time.
type Purse struct {
	accounts map[string]*account
}

type account struct {
	tokens []lease
	// demand is how many operations are asked for a second, as of at.
	demand float64
	at     clock.Time
	closed clock.Time // until when no owner is asked
}

// lease is some tokens with the moment at which they lapse.
type lease struct {
	count int
	until clock.Time
}

// NewPurse returns an empty Purse.
func NewPurse() *Purse { return &Purse{accounts: make(map[string]*account)} }

func (p *Purse) account(workspace string) *account {
	a := p.accounts[workspace]
	if a == nil {
		a = &account{}
		p.accounts[workspace] = a
	}
	return a
}

// Asked notes that an operation of a workspace has come.
func (p *Purse) Asked(now clock.Time, workspace string) {
	a := p.account(workspace)
	a.demand = a.demand*fade(now, a.at) + 1/demandOver.Seconds()
	a.at = now
}

func fade(now, at clock.Time) float64 {
	if at == 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(at)) / float64(demandOver))
}

// Spend takes a token; false if there is none that has not lapsed.
func (p *Purse) Spend(now clock.Time, workspace string) bool {
	a := p.account(workspace)
	for len(a.tokens) > 0 {
		first := &a.tokens[0]
		if now.Before(first.until) && first.count > 0 {
			first.count--
			return true
		}
		a.tokens = a.tokens[1:]
	}
	return false
}

// Want is how many tokens to ask for: as many as are needed before they lapse.
func (p *Purse) Want(now clock.Time, workspace string) int {
	a := p.account(workspace)
	return min(1+int(a.demand*fade(now, a.at)*tokenLife.Seconds()), maxTokens)
}

// Put takes tokens that were asked for at a moment.
func (p *Purse) Put(workspace string, asked clock.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	a := p.account(workspace)
	a.tokens = append(a.tokens, lease{count: tokens, until: asked.Add(tokenLife)})
	a.closed = 0
}

// Return gives a token back that was not used. It lapses when those at hand do.
func (p *Purse) Return(workspace string) {
	if a := p.account(workspace); len(a.tokens) > 0 {
		a.tokens[0].count++
	}
}

// Close notes that no owner has a token, and when one will have.
func (p *Purse) Close(now clock.Time, workspace string, comeBack time.Duration) {
	p.account(workspace).closed = now.Add(min(comeBack, maxClosed))
}

// Closed returns how long no owner is to be asked; 0 if it may be.
func (p *Purse) Closed(now clock.Time, workspace string) time.Duration {
	return max(p.account(workspace).closed.Sub(now), 0)
}

// Keep forgets the workspaces that are gone.
func (p *Purse) Keep(known map[string]*catalog.Workspace) {
	for name := range p.accounts {
		if known[name] == nil {
			delete(p.accounts, name)
		}
	}
}

package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// priorities is the number of priorities that are told apart; those beyond it count as the
	// lowest. 0 is the highest.
	priorities = 8
	// LowestPriority is that of a demand without a priority.
	LowestPriority = priorities - 1
	// urgentWindow is the time over which an owner averages what each priority spends.
	urgentWindow = 5 * time.Second
	// reserveTime is how long the reserve for more urgent operations lasts at their average rate.
	reserveTime = 200 * time.Millisecond
	// reserveBacklogs is how many times the mean backlog that urgent operations would have by
	// chance is reserved in addition.
	reserveBacklogs = 2
	// maxReserve bounds the reserve, as a fraction of the bucket's size. It is less than half so that
	// a bucket of two tokens is not full before it has one beyond the reserve.
	maxReserve = 0.45
	// pressureHold is how long an owner reserves tokens after it last had none for an operation.
	pressureHold = time.Second
)

// clampPriority returns the operator's priority as one of those that are told apart.
func clampPriority(p int) int { return min(max(p, 0), LowestPriority) }

// average is an exponentially weighted rate of events a second.
type average struct {
	rate float64
	at   clock.Time
}

func (a *average) record(now clock.Time, n int, window time.Duration) {
	a.rate, a.at = a.value(now, window)+float64(n)/window.Seconds(), now
}

func (a *average) value(now clock.Time, window time.Duration) float64 {
	if a.at == 0 {
		return 0
	}
	return a.rate * math.Exp(-float64(now.Sub(a.at))/float64(window))
}

// pressure decides what an owner reserves for urgent operations. It answers the load of a workspace
// that asks for more than its limit: without a reserve, tokens go to whoever asks first, and of the
// urgent operations as many are refused as of the others.
//
// The reserve is in force only while the workspace exceeds its limit: it begins once the bucket has
// been empty, and ends pressureHold after the requests for tokens last exceeded the rate. For that
// long, less urgent operations of a workspace that is below its limit again may be refused for it.
type pressure struct {
	until clock.Time
	// asked counts the requests for tokens; spent counts the tokens that were granted and denied the
	// requests that were refused, by priority.
	asked         average
	spent, denied [priorities]average
}

func (p *pressure) active(now clock.Time) bool { return now.Before(p.until) }

// urgentRate returns how many tokens a second go to operations that are more urgent than a
// priority.
func (p *pressure) urgentRate(now clock.Time, priority int) float64 {
	sum := 0.0
	for q := range priority {
		sum += p.spent[q].value(now, urgentWindow)
	}
	return sum
}

// urgentDemand returns how many tokens a second operations that are more urgent than a priority need,
// refused ones included.
//
// Failure guarded against: urgent operations begin while the bucket is empty. They are refused until
// one of them meets a token by chance, because nothing is reserved for operations that spend nothing.
func (p *pressure) urgentDemand(now clock.Time, priority int, rate float64) float64 {
	sum := p.urgentRate(now, priority)
	for q := range priority {
		sum += p.denied[q].value(now, urgentWindow)
	}
	return min(sum, rate)
}

// reserve returns how many tokens an operation of a priority has to leave in the bucket. It grows
// with the rate of the more urgent ones, but remains below a fraction of the bucket's size, so that
// it differs between priorities in small buckets too.
func (p *pressure) reserve(now clock.Time, priority int, rate, size float64) float64 {
	if !p.active(now) {
		return 0
	}
	urgent, most := p.urgentDemand(now, priority, rate), size*maxReserve
	switch {
	case urgent*urgentWindow.Seconds() < math.Exp(-1): // none within the window
		return 0
	case most <= 1:
		return most
	}
	// The mean backlog of a queue with random arrivals is urgent/(rate-urgent), which is no useful
	// reserve if urgent operations need nearly all tokens.
	wanted := urgent * (reserveTime.Seconds() + reserveBacklogs/max(rate-urgent, rate/2))
	return 1 + wanted*(most-1)/(wanted+most-1)
}

// refused records that an operation of a priority got no token. empty reports whether there was none
// at all.
func (p *pressure) refused(now clock.Time, priority int, empty bool, rate float64) {
	p.denied[priority].record(now, 1, urgentWindow)
	if empty || p.asked.value(now, demandWindow) > rate {
		p.until = now.Add(pressureHold)
	}
}

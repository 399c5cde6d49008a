package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/ratelimit"
)

// Outcomes of decisions about a workspace that is beyond its limit.
const (
	// granted counts the tokens that this VM granted as an owner.
	granted = "granted"
	// reserved counts requests that got none although there were tokens: they are kept for more
	// urgent operations. exhausted counts those for which there was none.
	reserved  = "reserved"
	exhausted = "exhausted"
	// refused counts operations for which no owner had a token, and refusedInBackoff those that
	// were refused without a request because of that.
	refused          = "refused"
	refusedInBackoff = "refused-in-backoff"
)

// limitMetrics counts the tokens of limits.
type limitMetrics struct {
	granted, expired prometheus.Counter
}

func newLimitMetrics(r prometheus.Registerer) limitMetrics {
	tokens := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_limit_tokens_total", Help: "Tokens of workspaces' limits that this VM granted as an owner, and tokens granted to it that expired unspent."},
		[]string{"result"})
	r.MustRegister(tokens)
	return limitMetrics{granted: tokens.WithLabelValues("granted"), expired: tokens.WithLabelValues("expired")}
}

// countReply counts a reply of this VM as an owner. Decisions are counted only beyond the limit.
func (l *limits) countReply(workspace string, r ratelimit.Reply) {
	l.metrics.granted.Add(float64(r.Tokens))
	switch {
	case r.Reserved:
		l.edge.decisions.Count(decisions.Limit, workspace, reserved, 1)
	case r.Tokens == 0:
		l.edge.decisions.Count(decisions.Limit, workspace, exhausted, 1)
	case r.Interval > 0:
		l.edge.decisions.Count(decisions.Limit, workspace, granted, r.Tokens)
	}
}

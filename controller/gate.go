package controller

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// viewRefresh is how often a waiting write reads the view, which may show that a later term
	// has discarded the write.
	viewRefresh = 25 * time.Millisecond
	// defaultTimeout limits an acknowledgement whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// retryAfter is the retry-after returned to callers while the primary of their group cannot be
	// confirmed.
	retryAfter = 500 * time.Millisecond
)

// Gate delays acknowledgements until package ack allows them, and determines the floor of sessions
// without a token. Its status queries use the shared control connections, so that commits that
// finish at the same time share a round trip.
type Gate struct {
	Gate  ack.Gate
	Links *control.Links
	Views *view.Holder
	Clock clock.Clock

	// paces holds an *ack.Pace for each group name.
	paces sync.Map
}

func (g *Gate) pace(group string) *ack.Pace {
	p, _ := g.paces.LoadOrStore(group, &ack.Pace{})
	return p.(*ack.Pace)
}

// Acknowledge returns nil once the write at pos may be acknowledged, and an *outcome.Error with an
// unknown outcome if that cannot be shown before ctx ends.
func (g *Gate) Acknowledge(ctx context.Context, group *view.Group, pos timeline.Position, d profile.Durability) error {
	w := ack.Write{
		Primary:    group.Primary,
		Position:   pos,
		Committed:  g.Clock.Now(),
		Deadline:   g.deadline(ctx),
		Durability: d,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	evidence := ack.NewEvidence(group)
	answers := g.pollOthers(ctx, group, w)
	for {
		decision := g.decide(w, evidence)
		switch decision.Result {
		case ack.Ack:
			g.pace(group.Name).RecordLag(g.Clock.Now().Sub(w.Committed))
			return nil
		case ack.Unknown:
			return unknownOutcome(pos, decision.Reason)
		}
		select {
		case a := <-answers:
			evidence.Observe(ack.Report{Asked: a.Asked, Answered: a.Answered, Status: a.Status})
		case <-time.After(viewRefresh):
		case <-ctx.Done():
			return unknownOutcome(pos, ack.ReasonDeadline)
		}
	}
}

func unknownOutcome(pos timeline.Position, reason ack.Reason) error {
	return outcome.Lost(retryAfter, "write at term %d position %d: %s", pos.Term, pos.LSN, reason)
}

// decide evaluates the write against the newest view of the group.
func (g *Gate) decide(w ack.Write, e *ack.Evidence) ack.Decision {
	if group := g.Views.Load().Groups[e.Group().Name]; group != nil {
		e.SetGroup(group)
	}
	return g.Gate.Decide(w, e, g.Clock.Now())
}

// pollOthers polls every server except the write's primary, each at its own pace, until ctx ends.
//
// Failure guarded against: one server is frozen, and its reply arrives after the control timeout
// or never. If all servers were polled in rounds, each write would wait for the frozen server
// before the replica that holds the write is polled again: after a primary froze, every purchase
// took 0.4 to 0.8 s until the server was repaired.
func (g *Gate) pollOthers(ctx context.Context, group *view.Group, w ack.Write) <-chan control.Answer {
	answers := make(chan control.Answer)
	pace := g.pace(group.Name)
	for _, s := range group.Servers {
		if s.ID != w.Primary {
			go g.poll(ctx, s, w, pace, answers)
		}
	}
	return answers
}

func (g *Gate) poll(ctx context.Context, s view.Server, w ack.Write, pace *ack.Pace, answers chan<- control.Answer) {
	for ctx.Err() == nil {
		if a, err := g.Links.Of(s).Status(ctx); err == nil {
			select {
			case answers <- a:
			case <-ctx.Done():
				return
			}
		}
		wait.For(ctx, pace.Next(g.Clock.Now().Sub(w.Committed)))
	}
}

func (g *Gate) deadline(ctx context.Context) clock.Time {
	at, ok := ctx.Deadline()
	if !ok {
		return g.Clock.Now().Add(defaultTimeout)
	}
	return g.Clock.Now().Add(time.Until(at))
}

// queryOthers queries all servers except one, and closes the channel after the last reply. The
// channel has room for all replies, so the caller need not read all of them.
func (g *Gate) queryOthers(ctx context.Context, group *view.Group, primary target.ID) <-chan control.Answer {
	answers := make(chan control.Answer, len(group.Servers))
	finished := make(chan struct{}, len(group.Servers))
	queried := 0
	for _, s := range group.Servers {
		if s.ID == primary {
			continue
		}
		queried++
		go func() {
			if a, err := g.Links.Of(s).Status(ctx); err == nil {
				answers <- a
			}
			finished <- struct{}{}
		}()
	}
	go func() {
		for range queried {
			<-finished
		}
		close(answers)
	}()
	return answers
}

// Floor returns the primary's position as of this call, confirmed by a replica that has promised
// no later term. A session without a token reads no data older than this position, so it sees its
// own writes, whichever VM they were sent through.
//
// Failure guarded against: this VM still considers a superseded server the primary, while the
// session wrote to the new primary through another VM. With the old primary's position as its
// floor, the session could miss its own write. Primary and replica are queried after the session's
// request arrived, and neither has promised a later term, so no majority had done so when the
// request arrived: no other server was primary.
func (g *Gate) Floor(ctx context.Context, group *view.Group) (timeline.Position, error) {
	primary := group.Server(group.Primary)
	if primary == nil {
		return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, retryAfter, "group %s has no primary", group.Name)
	}
	others := g.queryOthers(ctx, group, group.Primary)
	answer, err := g.Links.Of(*primary).Status(ctx)
	if err != nil || !leads(answer.Status, group) {
		return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, retryAfter, "the primary of %s does not answer as such", group.Name)
	}
	for a := range others {
		if a.Status.Promised <= group.Term {
			return answer.Status.Position(), nil
		}
	}
	return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, retryAfter, "no replica of %s vouches for its primary", group.Name)
}

func leads(st target.Status, group *view.Group) bool {
	return st.Role == target.RolePrimary && st.Term == group.Term && st.Promised <= group.Term
}

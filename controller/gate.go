package controller

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// noDeadline is used when the context has none.
	noDeadline = 5 * time.Second
	// comeBack is told to a caller whose group cannot prove its primary.
	comeBack = 500 * time.Millisecond
)

// Gate holds acknowledgements back until package ack allows them, and finds
// the floor of sessions without a token. It asks through the shared control
// connections, so that commits that finish together share a round trip.
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

// Acknowledge returns nil once the write at pos may be acknowledged, and an
// *outcome.Error of outcome unknown if that cannot be shown before ctx ends.
func (g *Gate) Acknowledge(ctx context.Context, group *view.Group, pos timeline.Position, d profile.Durability) error {
	w := ack.Write{
		Primary:    group.Primary,
		Position:   pos,
		Committed:  g.Clock.Now(),
		Deadline:   g.deadline(ctx),
		Durability: d,
	}
	evidence := ack.NewEvidence(group)
	pace := g.pace(group.Name)
	for {
		decision := g.round(ctx, w, evidence)
		switch decision.Verdict {
		case ack.Ack:
			pace.Saw(g.Clock.Now().Sub(w.Committed))
			return nil
		case ack.Unknown:
			return outcome.Lost(comeBack, "write at term %d position %d: %s", pos.Term, pos.LSN, decision.Reason)
		}
		sleep(ctx, pace.Next(g.Clock.Now().Sub(w.Committed)))
	}
}

func (g *Gate) deadline(ctx context.Context) clock.Time {
	at, ok := ctx.Deadline()
	if !ok {
		return g.Clock.Now().Add(noDeadline)
	}
	return g.Clock.Now().Add(time.Until(at))
}

// round asks every server but the primary once, and decides after each answer.
func (g *Gate) round(ctx context.Context, w ack.Write, e *ack.Evidence) ack.Decision {
	if group := g.Views.Load().Groups[e.Group().Name]; group != nil {
		e.SetGroup(group)
	}
	decision := g.Gate.Decide(w, e, g.Clock.Now())
	answers := g.askOthers(ctx, e.Group(), w.Primary)
	for decision.Verdict == ack.Wait {
		a, ok := <-answers
		if !ok {
			return g.Gate.Decide(w, e, g.Clock.Now())
		}
		e.Observe(ack.Report{Asked: a.Asked, Answered: a.Answered, Status: a.Status})
		decision = g.Gate.Decide(w, e, g.Clock.Now())
	}
	return decision
}

// askOthers asks all servers but one, and closes the channel after the last
// answer. The channel holds all answers, so nobody has to read to the end.
func (g *Gate) askOthers(ctx context.Context, group *view.Group, primary target.ID) <-chan control.Answer {
	answers := make(chan control.Answer, len(group.Servers))
	pending := make(chan struct{}, len(group.Servers))
	asked := 0
	for _, s := range group.Servers {
		if s.ID == primary {
			continue
		}
		asked++
		go func() {
			if a, err := g.Links.Of(s).Status(ctx); err == nil {
				answers <- a
			}
			pending <- struct{}{}
		}()
	}
	go func() {
		for range asked {
			<-pending
		}
		close(answers)
	}()
	return answers
}

// Floor returns the primary's position as of this call, proven by a replica
// that has promised no later term. A session without a token reads nothing
// older than that, so it sees its own writes wherever they were made.
//
// Failure guarded against: this proxy still believes in a superseded primary,
// while the session wrote at the new one through another proxy. The old
// primary's position would let the session miss its own write. Primary and
// replica are asked after the session came, and neither has promised a later
// term, so no majority had when the session came: nobody else was primary.
func (g *Gate) Floor(ctx context.Context, group *view.Group) (timeline.Position, error) {
	primary := group.Server(group.Primary)
	if primary == nil {
		return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, comeBack, "group %s has no primary", group.Name)
	}
	others := g.askOthers(ctx, group, group.Primary)
	answer, err := g.Links.Of(*primary).Status(ctx)
	if err != nil || !leads(answer.Status, group) {
		return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, comeBack, "the primary of %s does not answer as such", group.Name)
	}
	for a := range others {
		if a.Status.Promised <= group.Term {
			return answer.Status.Position(), nil
		}
	}
	return timeline.Position{}, outcome.Refuse(outcome.CodeCannotConnectNow, comeBack, "no replica of %s vouches for its primary", group.Name)
}

func leads(st target.Status, group *view.Group) bool {
	return st.Role == target.RolePrimary && st.Term == group.Term && st.Promised <= group.Term
}

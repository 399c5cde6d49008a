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
	// viewRefresh is how often a waiting write looks at the view, which may show
	// that a later term has discarded it.
	viewRefresh = 25 * time.Millisecond
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
			return lost(pos, decision.Reason)
		}
		select {
		case a := <-answers:
			evidence.Observe(ack.Report{Asked: a.Asked, Answered: a.Answered, Status: a.Status})
		case <-time.After(viewRefresh):
		case <-ctx.Done():
			return lost(pos, ack.ReasonDeadline)
		}
	}
}

func lost(pos timeline.Position, why ack.Reason) error {
	return outcome.Lost(comeBack, "write at term %d position %d: %s", pos.Term, pos.LSN, why)
}

// decide judges by the newest view of the group.
func (g *Gate) decide(w ack.Write, e *ack.Evidence) ack.Decision {
	if group := g.Views.Load().Groups[e.Group().Name]; group != nil {
		e.SetGroup(group)
	}
	return g.Gate.Decide(w, e, g.Clock.Now())
}

// pollOthers asks every server but the write's primary, each at its own pace,
// until ctx ends.
//
// Failure guarded against: one server is frozen, and its answer comes after the
// control timeout or not at all. Were all asked in rounds, each write would wait
// for the frozen one before the replica that holds it is asked again: after a
// primary froze, every purchase took 0.4 to 0.8 s until it was mended (seen on
// processes).
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
		return g.Clock.Now().Add(noDeadline)
	}
	return g.Clock.Now().Add(time.Until(at))
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

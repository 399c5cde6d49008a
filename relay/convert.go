package relay

import (
	"errors"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

func micros(d time.Duration) int64 { return d.Microseconds() }

// maxMicros bounds a duration in a message. Added to a time, more could overflow.
const maxMicros = int64(24 * time.Hour / time.Microsecond)

func duration(us int64) time.Duration {
	return time.Duration(min(max(us, -maxMicros), maxMicros)) * time.Microsecond
}

func claimOf(service string, id target.ID, c dispatch.Claim, now clock.Time) *relaypb.Claim {
	return &relaypb.Claim{
		Service: service, Target: string(id), DueUs: micros(c.Options.Due.Sub(now)),
		Priority: int32(c.Options.Priority), QueueUs: micros(c.QueueTimeout), Workspace: c.Options.Workspace,
		Class: c.Options.Class, Caller: c.Options.Caller,
	}
}

func claim(in *relaypb.Claim, now clock.Time) dispatch.Claim {
	return dispatch.Claim{
		Options: lane.AcquireOptions{
			Due: now.Add(duration(in.GetDueUs())), Priority: int(in.GetPriority()), Workspace: in.GetWorkspace(), Class: in.GetClass(), Caller: in.GetCaller(),
		},
		QueueTimeout: duration(in.GetQueueUs()),
	}
}

func valuesOf(values map[string]string) []*relaypb.Value {
	out := make([]*relaypb.Value, 0, len(values))
	for name, value := range values {
		out = append(out, &relaypb.Value{Name: name, Value: value})
	}
	return out
}

func values(in []*relaypb.Value) map[string]string {
	out := make(map[string]string, len(in))
	for _, v := range in {
		out[v.GetName()] = v.GetValue()
	}
	return out
}

func positionOf(p timeline.Position) *relaypb.Position {
	if p.IsZero() {
		return nil
	}
	return &relaypb.Position{Term: uint64(p.Term), Number: uint64(p.LSN)}
}

func position(in *relaypb.Position) timeline.Position {
	return timeline.Position{Term: timeline.Term(in.GetTerm()), LSN: timeline.LSN(in.GetNumber())}
}

// jobOf encodes a statement; the caller adds the claim and the transaction.
func jobOf(j *dispatch.Job, left time.Duration) *relaypb.RunRequest {
	out := &relaypb.RunRequest{
		Values: valuesOf(j.Values), Id: j.Statement.ID, Text: j.Statement.Text, Arguments: j.Statement.Arguments,
		After: positionOf(j.After), Commits: j.Commits, AnswerUs: micros(j.AnswerTimeout), LeftUs: micros(left),
	}
	if j.Prepared != nil {
		out.Prepared, out.Shape, out.ShapeWrites = true, j.Prepared.Shape, j.Prepared.Writes
	}
	return out
}

func job(in *relaypb.RunRequest) *dispatch.Job {
	out := &dispatch.Job{
		Service:   in.GetClaim().GetService(),
		Statement: &statement.Statement{ID: in.GetId(), Text: in.GetText(), Arguments: in.GetArguments()},
		Values:    values(in.GetValues()), After: position(in.GetAfter()), Commits: in.GetCommits(), AnswerTimeout: duration(in.GetAnswerUs()),
	}
	if in.GetPrepared() {
		out.Prepared = &lane.Prepared{Shape: in.GetShape(), Writes: in.GetShapeWrites()}
	}
	return out
}

func answerOf(a *statement.Answer) *relaypb.Answer {
	return &relaypb.Answer{
		Rows: a.Rows, Code: uint32(a.Code), Signature: a.Signature, Text: a.Text,
		State: uint32(a.State), Position: positionOf(a.Position),
	}
}

// answer decodes an answer. A code or state that this version does not know decodes to one that
// does not imply success.
func answer(in *relaypb.Answer) *statement.Answer {
	out := &statement.Answer{
		Rows: in.GetRows(), Code: statement.Other, Signature: in.GetSignature(), Text: in.GetText(),
		State: statement.FailedTransaction, Position: position(in.GetPosition()),
	}
	if in.GetCode() < uint32(statement.Other) {
		out.Code = statement.Code(in.GetCode())
	}
	if in.GetState() <= uint32(statement.FailedTransaction) {
		out.State = statement.State(in.GetState())
	}
	return out
}

// failureOf encodes an error of a dispatch.Runner.
func failureOf(err error) *relaypb.Failure {
	out := &relaypb.Failure{Kind: relaypb.Failure_LOST, Text: err.Error(), Refused: lane.Refused(err)}
	var unavailable *lane.UnavailableError
	var setup *dispatch.SetupError
	switch {
	case errors.As(err, &unavailable):
		out.Kind, out.Code, out.Expired = relaypb.Failure_UNSENT, uint32(unavailable.Code), unavailable.Expired
		out.Busy, out.ComeBackUs = unavailable.Busy, micros(unavailable.RetryAfter)
	case errors.As(err, &setup):
		out.Kind = relaypb.Failure_UNREADY
	}
	return out
}

// failure decodes the failure that a gateway reports.
func failure(in *relaypb.Failure, id target.ID) error {
	cause := errors.New(in.GetText())
	switch in.GetKind() {
	case relaypb.Failure_UNSENT:
		return &lane.UnavailableError{Target: id, Code: statement.Code(in.GetCode()), Expired: in.GetExpired(), Busy: in.GetBusy(), RetryAfter: duration(in.GetComeBackUs()), Cause: cause}
	case relaypb.Failure_UNREADY:
		return &dispatch.SetupError{Cause: cause}
	case relaypb.Failure_DECLINED:
		return errDeclined
	default:
		return &dispatch.LostError{Cause: cause}
	}
}

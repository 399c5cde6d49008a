package relay

import (
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/timeline"
)

func TestStatementRoundTrip(t *testing.T) {
	j := &dispatch.Job{
		Service: "s", Statement: &statement.Statement{ID: "r1", Text: "EXEC p a 1", Arguments: "a 1"},
		Prepared: &lane.Prepared{Shape: "q", Writes: true}, Values: map[string]string{"lang": "ga"},
		After: timeline.Position{Term: 3, LSN: 9}, Commits: true, AnswerTimeout: 250 * time.Millisecond,
	}
	in := jobOf(j, time.Second)
	in.Claim = claimOf("s", "t", dispatch.Claim{Options: lane.AcquireOptions{Due: 5000, Priority: 2}, QueueTimeout: time.Second}, 1000)
	require.Equal(t, j, job(in))
	c := claim(in.GetClaim(), 7000)
	require.Equal(t, lane.AcquireOptions{Due: 11000, Priority: 2}, c.Options, "due after the same time left as at the sender")
}

// Failure guarded against: a failure changes its kind in transit, so that a write that may have run
// counts as one that has not, and is sent again.
func TestFailureRoundTrip(t *testing.T) {
	lost := failure(failureOf(&dispatch.LostError{Cause: errors.New("no answer")}), "t")
	var l *dispatch.LostError
	require.ErrorAs(t, lost, &l)
	require.Empty(t, l.Gateway, "the target did not answer, not a gateway")
	require.False(t, mayTryNext(lost))

	full := failure(failureOf(&lane.UnavailableError{Target: "t", RetryAfter: 40 * time.Millisecond, Cause: errors.New("busy")}), "t")
	var u *lane.UnavailableError
	require.ErrorAs(t, full, &u)
	require.Equal(t, 40*time.Millisecond, u.RetryAfter)
	require.False(t, mayTryNext(full), "another gateway has no more time left")

	busy := &lane.UnavailableError{Target: "t", Expired: true, Busy: true}
	require.ErrorAs(t, failure(failureOf(busy), "t"), &u)
	require.True(t, u.Expired && u.Busy)

	away := failureOf(&lane.UnavailableError{Target: "t", Cause: syscall.ECONNREFUSED})
	require.True(t, away.GetRefused())
	require.True(t, mayTryNext(failure(away, "t")), "another gateway may reach it")

	require.True(t, mayTryNext(failure(declined, "t")))
	unknown := failure(&relaypb.Failure{Kind: relaypb.Failure_UNKNOWN}, "t")
	require.False(t, mayTryNext(unknown), "an unknown kind does not show that the statement was not sent")
}

// Failure guarded against: a gateway of a later version answers with a code and a state that this
// version does not know, and one of them counts as a success.
func TestUnknownCodesAreNoSuccess(t *testing.T) {
	a := answer(&relaypb.Answer{Code: 99, State: 9})
	require.Equal(t, statement.Other, a.Code)
	require.Equal(t, statement.FailedTransaction, a.State)
	whole := &statement.Answer{Rows: []string{"x"}, Signature: "sig", State: statement.Idle, Position: timeline.Position{Term: 1, LSN: 2}}
	require.Equal(t, whole, answer(answerOf(whole)))
}

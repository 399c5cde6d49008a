package relay

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

type fixedClock struct{}

func (fixedClock) Now() clock.Time { return 1 }

// opener is a Runner that opens the transaction tx.
type opener struct {
	dispatch.Runner
	tx *slowTransaction
}

func (o *opener) Open(context.Context, target.ID, dispatch.Claim, *dispatch.Opening) (dispatch.Transaction, *statement.Answer, error) {
	return o.tx, &statement.Answer{State: statement.InTransaction}, nil
}

func (o *opener) Load(target.ID) lane.Load { return lane.Load{} }

// slowTransaction runs each statement until goOn is closed.
type slowTransaction struct {
	running, goOn chan struct{}
	abandoned     int
}

func (t *slowTransaction) Target() target.ID { return "t" }

func (t *slowTransaction) Run(context.Context, lane.AcquireOptions, *dispatch.Job) (*dispatch.Result, error) {
	t.running <- struct{}{}
	<-t.goOn
	return &dispatch.Result{Answer: &statement.Answer{State: statement.InTransaction}}, nil
}

func (t *slowTransaction) Release() {}
func (t *slowTransaction) Abandon() { t.abandoned++ }
func (t *slowTransaction) Discard() {}

// Failure guarded against: a consumer disconnects while a statement of its transaction still runs
// at the gateway, and the gateway rolls the transaction back at once. The connection then carries
// the rollback in the middle of that statement, and serves another consumer before the answer to
// the statement has arrived.
func TestAbandonedTransactionEndsWithItsStatement(t *testing.T) {
	tx := &slowTransaction{running: make(chan struct{}), goOn: make(chan struct{})}
	s := NewServer(ServerConfig{Local: &opener{tx: tx}, Clock: fixedClock{}, Groups: noGroups(), Serves: func(target.ID) bool { return true }})
	opened, err := s.Open(context.Background(), &relaypb.OpenRequest{LeftUs: 1e6})
	require.NoError(t, err)
	number := opened.GetTransaction()
	require.NotZero(t, number)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := s.Run(context.Background(), &relaypb.RunRequest{Transaction: number, LeftUs: 1e6})
		require.NoError(t, err)
	}()
	<-tx.running
	_, err = s.End(context.Background(), &relaypb.EndRequest{Transaction: number})
	require.NoError(t, err)
	require.Zero(t, tx.abandoned, "the statement still runs")
	close(tx.goOn)
	<-ended
	require.Equal(t, 1, tx.abandoned)
	require.Zero(t, s.Count())
}

// A VM that drains, or that does not know a target, accepts no new work for it: the other VM gets a
// reply that says so, and tries another gateway at once.
func TestGatewayDeclinesWhatItDoesNotServe(t *testing.T) {
	s := NewServer(ServerConfig{Clock: fixedClock{}, Serves: func(target.ID) bool { return false }})
	opened, err := s.Open(context.Background(), &relaypb.OpenRequest{})
	require.NoError(t, err)
	require.ErrorIs(t, failure(opened.GetFailure(), "t"), errDeclined)
	ran, err := s.Run(context.Background(), &relaypb.RunRequest{})
	require.NoError(t, err)
	require.ErrorIs(t, failure(ran.GetFailure(), "t"), errDeclined)
	require.True(t, mayTryNext(failure(ran.GetFailure(), "t")))
}

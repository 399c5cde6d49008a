package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/line"
)

// departureCheckInterval is how often a VM checks whether the consumer of a statement has left: less
// than the shortest latency objective, so that most statements are never checked.
const departureCheckInterval = 100 * time.Millisecond

// whileConnected returns a context for a consumer's statement that is canceled once the consumer has
// left. end must be called when the statement has ended.
//
// Failure guarded against: in an overload, consumers leave before they are served, and their requests
// take the place of those whose consumers wait, in this VM's queues and at gateways.
func whileConnected(c *line.Consumer) (_ context.Context, end func()) {
	return wait.CancelWhen(context.Background(), departureCheckInterval, c.Left)
}

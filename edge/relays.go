package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay"
	"endivemoor.example/endivemoor/target"
)

// relaySlack is how much longer a transaction opened for another VM is retained than on that VM,
// which ends it first unless it is dead.
const relaySlack = time.Second

// acceptsRelayFor reports whether this VM accepts other VMs' work for a target. A leaving VM does
// not, so that the others choose another gateway at once.
func (e *Edge) acceptsRelayFor(id target.ID) bool {
	return !e.shutdown.leaving.Load() && e.catalog.Load().Targets[id] != nil
}

// relayIdleTimeout is how long a transaction opened for another VM may be without a statement.
func (e *Edge) relayIdleTimeout() time.Duration {
	idle := relaySlack
	if c := e.catalog.Load().Config; c != nil {
		idle += c.TransactionIdle
	}
	return idle
}

// controlClient sends the groups' status queries and commands through the daemon's router, which is
// created after the groups.
type controlClient struct{ edge *Edge }

// Control implements groups.ControlClient.
func (a controlClient) Control(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) ([]string, error) {
	return relay.ControlClient{Router: a.edge.router}.Control(ctx, id, ask, timeout)
}

// Recent implements groups.ControlClient.
func (a controlClient) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	return relay.ControlClient{Router: a.edge.router}.Recent(ctx, id, maxAge, timeout)
}

package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay"
	"endivemoor.example/endivemoor/target"
)

// relaySlack is how much longer than its own VM a transaction that is open for
// another VM is kept: that one ends it first, unless it is gone.
const relaySlack = time.Second

// relays reports whether this VM takes other VMs' work for a target. One that
// leaves does not: the others find another gateway at once.
func (e *Edge) relays(id target.ID) bool {
	return !e.ends.leaving.Load() && e.catalog.Load().Targets[id] != nil
}

// relayIdle is how long a transaction may be open for another VM without a
// statement.
func (e *Edge) relayIdle() time.Duration {
	idle := relaySlack
	if c := e.catalog.Load().Config; c != nil {
		idle += c.TransactionIdle
	}
	return idle
}

// asker carries the groups' questions and orders by the daemon's router, which
// is made after the groups.
type asker struct{ edge *Edge }

// Control implements groups.Asker.
func (a asker) Control(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) ([]string, error) {
	return relay.ControlClient{Router: a.edge.router}.Control(ctx, id, ask, timeout)
}

// Recent implements groups.Asker.
func (a asker) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	return relay.ControlClient{Router: a.edge.router}.Recent(ctx, id, maxAge, timeout)
}

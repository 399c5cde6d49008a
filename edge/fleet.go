package edge

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
)

func newIncarnation(node string) string { return node + "-" + rand.Text()[:8] }

// fleetEntry maintains this VM's own entry in the fleet's list.
type fleetEntry struct{ edge *Edge }

// anyRevision makes a replace unconditional.
const anyRevision = 0

// joinRetry is the pause between two attempts to write the entry.
const joinRetry = 500 * time.Millisecond

// join retries until this VM's entry is written.
func (f *fleetEntry) join(ctx context.Context) {
	for f.edge.outage.admit(ctx) {
		err := f.write(ctx)
		f.edge.outage.record(err)
		if err == nil {
			return
		}
		f.edge.log.Warn("entry-unwritten", zap.Error(err))
		wait.For(ctx, joinRetry)
	}
}

func (f *fleetEntry) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := f.edge
	record := vmRecord{Zone: e.settings.Zone, Peer: e.settings.Listen.Control, Incarnation: e.incarnation, Capacity: e.settings.Limits.Capacity()}
	name := prefixVM + e.settings.Node
	if !e.settings.FirstStart {
		// The entry of the previous process still exists: entries in the store do not expire.
		_, err := e.store.Replace(ctx, kindFleet, name, anyRevision, record)
		if !errors.Is(err, objects.ErrNotFound) {
			return err
		}
	}
	_, err := e.store.Create(ctx, kindFleet, name, record)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	_, err = e.store.Replace(ctx, kindFleet, name, conflict.Current.Meta.Revision, record)
	return err
}

// entryCheckInterval is how often the fleet's entries are checked.
const entryCheckInterval = 10 * time.Second

// restoreCheckDelay is how long after a restore of the store a VM checks whether its entry exists.
// The list of the new era has arrived by then.
const restoreCheckDelay = 700 * time.Millisecond

// maintain rewrites this VM's entry if it was removed, as after a long partition, or lost by the
// store. It also removes the entries of VMs that have been dead for long, because entries in the
// store do not expire.
func (f *fleetEntry) maintain(ctx context.Context) {
	tick := time.NewTicker(entryCheckInterval)
	defer tick.Stop()
	for {
		e := f.edge
		select {
		case <-tick.C:
		case <-e.eras.nextEra():
			wait.For(ctx, restoreCheckDelay)
		case <-ctx.Done():
			return
		}
		c := e.catalog.Load()
		if vm, ok := c.VM(e.settings.Node); c.FleetRevision > 0 && (!ok || vm.Incarnation != e.incarnation) && !e.shutdown.leaving.Load() {
			e.log.Info("entry-missing")
			f.join(ctx)
		}
		for _, vm := range e.gossip.removableVMs() {
			f.sweep(ctx, vm)
		}
	}
}

// sweep removes the entry of a VM that has been dead for long, unless the entry has changed.
func (f *fleetEntry) sweep(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := f.edge.store.Get(ctx, kindFleet, prefixVM+vm)
	if err != nil {
		return
	}
	err = f.edge.store.Delete(ctx, kindFleet, prefixVM+vm, o.Meta.Revision)
	f.edge.log.Info("entry-swept", zap.String("of", vm), zap.Error(err))
}

// listVMs reads the fleet's list from the store, without the leadership records, whose names come
// before those of the VMs.
func (e *Edge) listVMs(ctx context.Context) ([]catalog.VM, error) {
	var out []catalog.VM
	list := func(after string) (*objects.Page, error) {
		return e.store.List(ctx, kindFleet, max(after, prefixVM), false)
	}
	err := objects.EachPage(list, func(p *objects.Page) error {
		for i := range p.Items {
			node, ok := strings.CutPrefix(p.Items[i].Meta.Name, prefixVM)
			if !ok {
				continue
			}
			vm, err := decodeVM(node, &p.Items[i])
			if err != nil {
				return err
			}
			out = append(out, vm)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// remove deletes this VM's entry.
func (f *fleetEntry) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.edge.store.Delete(ctx, kindFleet, prefixVM+f.edge.settings.Node, 0); err != nil && !errors.Is(err, objects.ErrNotFound) {
		f.edge.log.Warn("entry-left-behind", zap.Error(err))
	}
}

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

// fleet keeps this VM's own entry.
type fleet struct{ edge *Edge }

// anyRevision replaces an object whatever its revision.
const anyRevision = 0

// joinRetry is the pause between two tries to write the entry.
const joinRetry = 500 * time.Millisecond

// join writes this VM's entry, until it is there.
func (f *fleet) join(ctx context.Context) {
	for f.edge.outage.admit(ctx) {
		err := f.write(ctx)
		f.edge.outage.note(err)
		if err == nil {
			return
		}
		f.edge.log.Warn("entry-unwritten", zap.Error(err))
		wait.For(ctx, joinRetry)
	}
}

func (f *fleet) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := f.edge
	record := vmRecord{Zone: e.set.Zone, Peer: e.set.Listen.Control, Incarnation: e.incarnation, Capacity: e.set.Limits.Capacity()}
	name := prefixVM + e.set.Node
	if !e.set.FirstStart {
		// The entry of the process before is still there: nothing in the store ends by itself.
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

// keepEvery is how often the entries of the fleet are looked after.
const keepEvery = 10 * time.Second

// afterRestore is how long after the store has come back from an older copy a VM looks if
// its entry is there: the list of the new era has come by then.
const afterRestore = 700 * time.Millisecond

// keep writes this VM's entry again if it was taken away, as after a long
// partition, or lost by the store, and takes away those of VMs that are long dead. Nothing in the
// store ends by itself.
func (f *fleet) keep(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	for {
		e := f.edge
		select {
		case <-tick.C:
		case <-e.eras.next():
			wait.For(ctx, afterRestore)
		case <-ctx.Done():
			return
		}
		c := e.catalog.Load()
		if vm, ok := c.VM(e.set.Node); c.FleetRevision > 0 && (!ok || vm.Incarnation != e.incarnation) && !e.ends.leaving.Load() {
			e.log.Info("entry-missing")
			f.join(ctx)
		}
		for _, vm := range e.gossip.gone() {
			f.sweep(ctx, vm)
		}
	}
}

// sweep takes away the entry of a VM that is long dead, unless it has changed.
func (f *fleet) sweep(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := f.edge.store.Get(ctx, kindFleet, prefixVM+vm)
	if err != nil {
		return
	}
	err = f.edge.store.Delete(ctx, kindFleet, prefixVM+vm, o.Meta.Revision)
	f.edge.log.Info("entry-swept", zap.String("of", vm), zap.Error(err))
}

// listVMs reads the fleet's list from the store.
func (e *Edge) listVMs(ctx context.Context) ([]catalog.VM, error) {
	var out []catalog.VM
	list := func(after string) (*objects.Page, error) { return e.store.List(ctx, kindFleet, after, false) }
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

// leave takes this VM's entry away.
func (f *fleet) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.edge.store.Delete(ctx, kindFleet, prefixVM+f.edge.set.Node, 0); err != nil && !errors.Is(err, objects.ErrNotFound) {
		f.edge.log.Warn("entry-left-behind", zap.Error(err))
	}
}

package edge

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
)

func newIncarnation(node string) string { return node + "-" + rand.Text()[:8] }

// fleetEntry maintains this VM's own entry in the fleet's list, and removes those of dead VMs.
type fleetEntry struct {
	edge *Edge
	// expiring are the entries that this VM knows to expire, by VM.
	expiring map[string]expiringEntry
	// ownMu is held while the own entry is updated or removed.
	ownMu sync.Mutex
}

func newFleetEntry(e *Edge) *fleetEntry {
	return &fleetEntry{edge: e, expiring: make(map[string]expiringEntry)}
}

// expiringEntry is a revision of an entry that is announced to be removed, and since when this VM
// knows it.
type expiringEntry struct {
	revision catalog.Revision
	since    clock.Time
}

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
	record, name := f.record(), prefixVM+f.edge.settings.Node
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

// record returns this VM's entry.
func (f *fleetEntry) record() vmRecord {
	e := f.edge
	return vmRecord{
		Zone: e.settings.Zone, Peer: e.settings.Listen.Control, Incarnation: e.incarnation, Capacity: e.settings.Limits.Capacity(),
		Condition: e.condition.current(),
	}
}

// errLeaving reports that the store was not called, because this VM leaves.
var errLeaving = errors.New("this VM leaves")

// update writes this process's entry if it exists with another condition; sent is set if a write may
// have reached the store. A missing entry is left to maintain.
//
// Failures guarded against: a VM that leaves removes its entry, and the entry comes back because its
// condition is written after that. Or a process that was suspended or killed writes its incarnation
// and address over those of the next one. VMs then send statements to a VM that is gone.
func (f *fleetEntry) update(ctx context.Context) (sent bool, err error) {
	f.ownMu.Lock()
	defer f.ownMu.Unlock()
	e, name := f.edge, prefixVM+f.edge.settings.Node
	if e.shutdown.leaving.Load() {
		return false, errLeaving
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, kindFleet, name)
	if errors.Is(err, objects.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var stored vmRecord
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		return false, errors.Wrap(err, "decode own fleet entry")
	}
	record := f.record()
	if stored.Incarnation != record.Incarnation || stored.Condition == record.Condition {
		return false, nil
	}
	_, err = e.store.Replace(ctx, kindFleet, name, o.Meta.Revision, record)
	return true, err
}

// entryCheckInterval is how often the fleet's entries are checked.
const entryCheckInterval = 10 * time.Second

// restoreCheckDelay is how long after a restore of the store a VM checks whether its entry exists.
// The list of the new era has arrived by then.
const restoreCheckDelay = 700 * time.Millisecond

// maintain rewrites this VM's entry if it was removed or is about to be, as after a long partition,
// or lost by the store. It also removes the entries of VMs that have been dead for long, because
// entries in the store do not expire.
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
		if c := e.catalog.Load(); c.FleetRevision > 0 && !e.hasOwnEntry(c) && !e.shutdown.leaving.Load() {
			e.log.Info("entry-missing")
			f.join(ctx)
		}
		f.sweepAll(ctx, e.gossip.removableVMs())
	}
}

// hasOwnEntry reports whether the fleet's list has an entry of this process that stays.
func (e *Edge) hasOwnEntry(c *catalog.Catalog) bool {
	vm, ok := c.VM(e.settings.Node)
	return ok && vm.Incarnation == e.incarnation && !vm.Expiring
}

// maxSweeps bounds the entries whose removal this VM takes a step further in one check. Each may
// take the timeout of a pull.
const maxSweeps = 8

// sweepAll takes the next step to remove the entries of VMs that have been unreachable for long.
//
// Failure guarded against: half of a large fleet is dead, and every other VM pulls from all of the
// dead ones and reads their entries, while its own entry is not checked.
func (f *fleetEntry) sweepAll(ctx context.Context, unreachable []string) {
	for _, vm := range f.nextSweeps(unreachable) {
		// A single pull may have failed a minute ago, and none was tried since.
		if f.edge.gossip.reachesAgain(ctx, vm) {
			continue
		}
		if err := f.sweep(ctx, vm); err != nil {
			f.edge.log.Info("entry-unswept", zap.String("of", vm), zap.Error(err))
		}
	}
}

// nextSweeps returns the VMs whose entries are due, those that this VM knows to expire first. It
// forgets the entries of VMs that are reached again.
func (f *fleetEntry) nextSweeps(unreachable []string) []string {
	now := f.edge.clk.Now()
	var due, unknown []string
	known := make(map[string]expiringEntry, len(f.expiring))
	for _, vm := range unreachable {
		entry, ok := f.expiring[vm]
		switch {
		case !ok:
			unknown = append(unknown, vm)
			continue
		case now.Sub(entry.since) > expiryNotice:
			due = append(due, vm)
		}
		known[vm] = entry
	}
	f.expiring = known
	due = append(due, unknown[:min(len(unknown), max(maxSweeps-len(known), 0))]...)
	return due[:min(len(due), maxSweeps)]
}

// expiryNotice is how long an entry is announced to be removed before it is. A VM that still has a
// permission after that knows of the announcement: its copy of the list is at most maxFleetListAge
// old.
const expiryNotice = maxFleetListAge + 3*time.Second

// sweep announces that the entry of a VM expires, or removes it if it was announced for long enough
// and the VM has not written it again.
//
// Failure guarded against: a VM that serves is removed from the list because some other VM does not
// reach it. The holder of an attempt does not ask it to give up its permission, and it serves exact
// reads at the old primary.
func (f *fleetEntry) sweep(ctx context.Context, vm string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, name := f.edge, prefixVM+vm
	o, err := e.store.Get(ctx, kindFleet, name)
	if err != nil {
		return err
	}
	var record vmRecord
	if err := json.Unmarshal(o.Spec, &record); err != nil {
		return errors.Wrapf(err, "decode fleet entry of VM %s", vm)
	}
	known := f.expiring[vm]
	switch {
	case !record.Expiring:
		record.Expiring = true
		if o, err = e.store.Replace(ctx, kindFleet, name, o.Meta.Revision, record); err != nil {
			return err
		}
		f.expiring[vm] = expiringEntry{o.Meta.Revision, e.clk.Now()}
	case known.revision != o.Meta.Revision:
		f.expiring[vm] = expiringEntry{o.Meta.Revision, e.clk.Now()}
	case e.clk.Now().Sub(known.since) > expiryNotice:
		err := e.store.Delete(ctx, kindFleet, name, o.Meta.Revision)
		e.log.Info("entry-swept", zap.String("of", vm), zap.Error(err))
	}
	return nil
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
	f.ownMu.Lock()
	defer f.ownMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.edge.store.Delete(ctx, kindFleet, prefixVM+f.edge.settings.Node, 0); err != nil && !errors.Is(err, objects.ErrNotFound) {
		f.edge.log.Warn("entry-left-behind", zap.Error(err))
	}
}

package edge

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/target"
)

// kindFleet is the fleet's own kind of objects: its VMs and the reigns of its
// services. One kind takes one watch.
const kindFleet = "endivemoor"

// Prefixes of names within kindFleet.
const (
	prefixVM    = "vm."
	prefixReign = "reign."
)

// vmRecord is a VM's entry.
type vmRecord struct {
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
}

// reignRecord is a service's leadership, as the fleet ordered it.
type reignRecord struct {
	Primary target.ID      `json:"primary,omitempty"`
	Holder  string         `json:"holder,omitempty"`
	Attempt *attemptRecord `json:"attempt,omitempty"`
}

type attemptRecord struct {
	Nonce   string    `json:"nonce"`
	Deposed target.ID `json:"deposed"`
}

func newIncarnation(node string) string { return node + "-" + rand.Text()[:8] }

// fleet keeps this VM's own entry.
type fleet struct{ edge *Edge }

// joinRetry is the pause between two tries to write the entry.
const joinRetry = 500 * time.Millisecond

// join writes this VM's entry, until it is there.
func (f *fleet) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.write(ctx)
		if err == nil {
			return
		}
		f.edge.log.Warn("entry-unwritten", zap.Error(err))
		select {
		case <-time.After(joinRetry):
		case <-ctx.Done():
		}
	}
}

func (f *fleet) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := f.edge
	record := vmRecord{Zone: e.set.Zone, Peer: e.set.Listen.Control, Incarnation: e.incarnation}
	name := prefixVM + e.set.Node
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

// keep writes this VM's entry again if it was taken away, as after a long
// partition, and takes away those of VMs that are long dead. Nothing in the
// store ends by itself.
func (f *fleet) keep(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		e := f.edge
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
	for after := ""; ; {
		p, err := e.store.List(ctx, kindFleet, after, false)
		if err != nil {
			return nil, err
		}
		for i := range p.Items {
			node, ok := strings.CutPrefix(p.Items[i].Meta.Name, prefixVM)
			if !ok {
				continue
			}
			vm, err := decodeVM(node, &p.Items[i])
			if err != nil {
				return nil, err
			}
			out = append(out, vm)
		}
		if !p.More || len(p.Items) == 0 {
			return out, nil
		}
		after = p.Items[len(p.Items)-1].Meta.Name
	}
}

func decodeVM(node string, o *objects.Object) (catalog.VM, error) {
	var r vmRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return catalog.VM{}, errors.Wrapf(err, "entry of %s", node)
	}
	return catalog.VM{ID: node, Zone: r.Zone, Peer: r.Peer, Incarnation: r.Incarnation}, nil
}

// leave takes this VM's entry away.
func (f *fleet) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.edge.store.Delete(ctx, kindFleet, prefixVM+f.edge.set.Node, 0); err != nil && !errors.Is(err, objects.ErrNotFound) {
		f.edge.log.Warn("entry-left-behind", zap.Error(err))
	}
}

// fleetFollower takes over the fleet's own records.
type fleetFollower struct {
	edge   *Edge
	vms    map[string]catalog.VM
	reigns map[string]*catalog.Reign
}

func newFleetFollower(e *Edge) *fleetFollower {
	return &fleetFollower{edge: e, vms: make(map[string]catalog.VM), reigns: make(map[string]*catalog.Reign)}
}

func (f *fleetFollower) replace(items map[string]*objects.Object) {
	clear(f.vms)
	for _, o := range items {
		f.apply(o, false)
	}
}

func (f *fleetFollower) apply(o *objects.Object, deleted bool) {
	if node, ok := strings.CutPrefix(o.Meta.Name, prefixVM); ok {
		f.applyVM(node, o, deleted)
		return
	}
	service, ok := strings.CutPrefix(o.Meta.Name, prefixReign)
	if !ok || deleted {
		return
	}
	r, err := decodeReign(service, o)
	if err != nil {
		f.edge.log.Error("record-refused", zap.String("name", o.Meta.Name), zap.Error(err))
		return
	}
	if old := f.reigns[service]; old == nil || old.Revision < r.Revision {
		f.reigns[service] = r
	}
}

func (f *fleetFollower) applyVM(node string, o *objects.Object, deleted bool) {
	if deleted {
		delete(f.vms, node)
		return
	}
	vm, err := decodeVM(node, o)
	if err != nil {
		f.edge.log.Error("record-refused", zap.String("name", o.Meta.Name), zap.Error(err))
		return
	}
	f.vms[node] = vm
}

func decodeReign(service string, o *objects.Object) (*catalog.Reign, error) {
	var r reignRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return nil, errors.Wrap(err, "decode reign")
	}
	out := &catalog.Reign{Service: service, Revision: o.Meta.Revision, Primary: r.Primary, Holder: r.Holder}
	if r.Attempt != nil {
		out.Attempt = &catalog.Attempt{Holder: r.Holder, Nonce: r.Attempt.Nonce, Deposed: r.Attempt.Deposed}
	}
	return out, nil
}

func (f *fleetFollower) heard() { f.edge.gossip.heardStore() }

func (f *fleetFollower) settle(revision int64) {
	vms := make([]catalog.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm)
	}
	reigns := make(map[string]*catalog.Reign, len(f.reigns))
	for service, r := range f.reigns {
		reigns[service] = r
	}
	f.edge.catalog.SetFleet(vms, reigns, revision)
}

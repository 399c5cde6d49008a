package edge

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
)

// kindFleet is the kind of the fleet's own objects: its VMs and the leadership records of its
// services. They share one kind so that one watch covers both.
const kindFleet = "endivemoor"

// Prefixes of object names within kindFleet.
const (
	prefixVM         = "vm."
	prefixLeadership = "reign."
)

// vmRecord is the stored entry of a VM.
type vmRecord struct {
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
	// Capacity is the number of cores.
	Capacity float64 `json:"capacity,omitempty"`
	// Expiring is catalog.VM.Expiring.
	Expiring bool `json:"expiring,omitempty"`
	// Condition is catalog.VM.Condition.
	Condition catalog.Condition `json:"condition,omitempty"`
}

// leadershipRecord is the stored leadership record of a service.
type leadershipRecord struct {
	Primary target.ID      `json:"primary,omitempty"`
	Holder  string         `json:"holder,omitempty"`
	Attempt *attemptRecord `json:"attempt,omitempty"`
	// Era is the store's era in which the record was written.
	Era int64 `json:"era,omitempty"`
}

type attemptRecord struct {
	Nonce   string    `json:"nonce"`
	Deposed target.ID `json:"deposed"`
}

func decodeVM(node string, o *objects.Object) (catalog.VM, error) {
	var r vmRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return catalog.VM{}, errors.Wrapf(err, "decode fleet entry of VM %s", node)
	}
	return catalog.VM{ID: node, Zone: r.Zone, Peer: r.Peer, Incarnation: r.Incarnation, Capacity: r.Capacity, Expiring: r.Expiring, Condition: r.Condition}, nil
}

// fleetFollower applies changes of the fleet's own objects to the catalog.
type fleetFollower struct {
	edge    *Edge
	vms     map[string]catalog.VM
	records map[string]*catalog.LeadershipRecord
}

func newFleetFollower(e *Edge) *fleetFollower {
	return &fleetFollower{edge: e, vms: make(map[string]catalog.VM), records: make(map[string]*catalog.LeadershipRecord)}
}

func (f *fleetFollower) replace(items map[string]*objects.Object) {
	clear(f.vms)
	clear(f.records)
	for _, o := range items {
		f.apply(o, false)
	}
}

func (f *fleetFollower) adopt(c *catalog.Catalog) {
	clear(f.vms)
	for _, vm := range c.VMs {
		f.vms[vm.ID] = vm
	}
	f.records = maps.Clone(c.LeadershipRecords)
	if f.records == nil {
		f.records = make(map[string]*catalog.LeadershipRecord)
	}
}

func (f *fleetFollower) apply(o *objects.Object, deleted bool) {
	if node, ok := strings.CutPrefix(o.Meta.Name, prefixVM); ok {
		f.applyVM(node, o, deleted)
		return
	}
	service, ok := strings.CutPrefix(o.Meta.Name, prefixLeadership)
	if !ok || deleted {
		return
	}
	r, err := decodeLeadershipRecord(service, o)
	if err != nil {
		f.edge.log.Error("record-refused", zap.String("name", o.Meta.Name), zap.Error(err))
		return
	}
	if old := f.records[service]; old == nil || old.Revision < r.Revision {
		f.records[service] = r
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

func decodeLeadershipRecord(service string, o *objects.Object) (*catalog.LeadershipRecord, error) {
	var r leadershipRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return nil, errors.Wrap(err, "decode leadership record")
	}
	out := &catalog.LeadershipRecord{Service: service, Revision: o.Meta.Revision, Primary: r.Primary, Holder: r.Holder, Era: r.Era}
	if r.Attempt != nil {
		out.Attempt = &catalog.Attempt{Holder: r.Holder, Nonce: r.Attempt.Nonce, Deposed: r.Attempt.Deposed}
	}
	return out, nil
}

func (f *fleetFollower) confirm(revision int64, at clock.Time) {
	f.edge.recordConfirmation(recency.Fleet, revision, at)
}

func (f *fleetFollower) publish(revision int64) {
	vms := make([]catalog.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm)
	}
	records := make(map[string]*catalog.LeadershipRecord, len(f.records))
	for service, r := range f.records {
		records[service] = r
	}
	f.edge.catalog.SetFleet(vms, records, revision)
}

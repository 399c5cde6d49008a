package gateways

import "endivemoor.example/endivemoor/catalog"

const (
	// loadedWeight is the fraction of its weight with which a loaded VM is selected.
	loadedWeight = 0.5
	// maxYieldingShare is one over the largest fraction of an availability zone's VMs that may
	// yield.
	maxYieldingShare = 3
)

// crowdedZones are the availability zones in which so many VMs yield that they count as normal; nil
// if there are none.
//
// Failure guarded against: a third of a zone is slow while its other VMs restart one after the
// other, and all targets of the zone end up at the few that remain.
type crowdedZones map[string]bool

func crowdedZonesOf(vms []catalog.VM) crowdedZones {
	var yielding map[string]int
	for i := range vms {
		if vms[i].Condition == catalog.Yielding {
			if yielding == nil {
				yielding = make(map[string]int)
			}
			yielding[vms[i].Zone]++
		}
	}
	if yielding == nil {
		return nil
	}
	all := make(map[string]int, len(yielding))
	for i := range vms {
		all[vms[i].Zone]++
	}
	var out crowdedZones
	for zone, n := range yielding {
		if n*maxYieldingShare > all[zone] {
			if out == nil {
				out = make(crowdedZones)
			}
			out[zone] = true
		}
	}
	return out
}

// condition returns the condition of a VM that counts in the selection.
func (z crowdedZones) condition(vm *catalog.VM) catalog.Condition {
	switch {
	case vm.Condition == catalog.Loaded:
		return catalog.Loaded
	case vm.Condition == catalog.Yielding && !z[vm.Zone]:
		return catalog.Yielding
	default:
		return catalog.Normal
	}
}

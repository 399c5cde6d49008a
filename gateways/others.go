package gateways

import "endivemoor.example/endivemoor/catalog"

// Others returns the other gateways to a service's targets.
func (a *Assignment) Others(service string) []catalog.VM {
	var out []catalog.VM
	for _, t := range a.catalog.ByService[service] {
		if !a.UsesGateways(t) {
			continue
		}
		for _, vm := range a.gateways(t) {
			if vm.ID != a.self && !containsVM(out, vm.ID) {
				out = append(out, vm)
			}
		}
	}
	return out
}

package edge

import (
	"endivemoor.example/endivemoor/spending"
)

// dialFor connects for a purpose, and counts what it carries.
func (e *Edge) dialFor(p spending.Purpose) spending.DialFunc {
	return e.spent.Dial(p, e.net.DialContext, e.reach)
}

// reach tells whether an address is in this VM's availability zone.
func (e *Edge) reach(addr string) spending.Reach {
	zone := e.zoneOf(addr)
	switch zone {
	case "":
		return spending.Unknown
	case e.set.Zone:
		return spending.Near
	default:
		return spending.Far
	}
}

// zoneOf is the availability zone of a VM's or a target's address; empty if it
// is not known.
func (e *Edge) zoneOf(addr string) string {
	c := e.catalog.Load()
	for i := range c.VMs {
		if c.VMs[i].Peer == addr {
			return c.VMs[i].Zone
		}
	}
	for _, t := range c.Targets {
		if t.Addr == addr {
			return t.Zone
		}
	}
	return ""
}

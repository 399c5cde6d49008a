package edge

import (
	"endivemoor.example/endivemoor/spending"
)

// dialFor returns a dial function for a purpose that meters the traffic.
func (e *Edge) dialFor(p spending.Purpose) spending.DialFunc {
	return e.meter.Dial(p, e.net.DialContext, e.reach)
}

// reach reports whether an address is in this VM's availability zone.
func (e *Edge) reach(addr string) spending.Reach {
	zone := e.zoneOf(addr)
	switch zone {
	case "":
		return spending.Unknown
	case e.settings.Zone:
		return spending.SameZone
	default:
		return spending.CrossZone
	}
}

// zoneOf returns the availability zone of a VM's or a target's address; empty if it is unknown.
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

package membership

// reviveShare: one round in reviveShare also tries a VM that is believed gone,
// so that two halves of a fleet find each other after a cut.
const reviveShare = 4

// partners chooses whom to exchange with: one VM of the own availability zone,
// the others from elsewhere, and now and then one that is believed gone.
func (m *Machine) partners() []Action {
	var near, far, gone []VM
	for _, id := range m.order {
		x := m.members[id]
		switch {
		case !x.live && !x.leaving && !x.listLeaving:
			gone = append(gone, x.vm)
		case x.vm.Zone == m.self.Zone:
			near = append(near, x.vm)
		default:
			far = append(far, x.vm)
		}
	}
	chosen := m.sample(near, 1)
	chosen = append(chosen, m.sample(far, m.cfg.Fanout-len(chosen))...)
	if missing := m.cfg.Fanout - len(chosen); missing > 0 && len(near) > len(chosen) {
		chosen = append(chosen[:0], m.sample(near, m.cfg.Fanout)...)
	}
	if m.rnd.IntN(reviveShare) == 0 || len(chosen) == 0 {
		chosen = append(chosen, m.sample(gone, 1)...)
	}
	out := make([]Action, 0, len(chosen)+1)
	for _, vm := range chosen {
		out = append(out, Exchange{With: vm})
	}
	return out
}

// sample draws up to n different VMs; it reorders from.
func (m *Machine) sample(from []VM, n int) []VM {
	n = min(n, len(from))
	for i := range max(n, 0) {
		j := i + m.rnd.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return append([]VM(nil), from[:max(n, 0)]...)
}

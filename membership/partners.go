package membership

// reviveShare: one round in reviveShare also tries a VM that is believed gone,
// so that two halves of a fleet find each other after a cut.
const reviveShare = 4

// partners sorts the members by how they are drawn for exchanges.
type partners struct {
	near, far, gone []VM
}

func (p *partners) sort(members []*member, zone string) {
	p.near, p.far, p.gone = p.near[:0], p.far[:0], p.gone[:0]
	for _, x := range members {
		switch {
		case x.leaving || x.listLeaving:
		case !x.live:
			p.gone = append(p.gone, x.vm)
		case x.vm.Zone == zone:
			p.near = append(p.near, x.vm)
		default:
			p.far = append(p.far, x.vm)
		}
	}
}

// round chooses whom to exchange with: one VM of the own availability zone, the
// others from elsewhere, those that left one exchange unanswered, and now and
// then one that is believed gone.
func (m *Machine) round() []Action {
	chosen := m.sample(m.partners.near, 1)
	chosen = append(chosen, m.sample(m.partners.far, m.cfg.Fanout-len(chosen))...)
	if len(chosen) < m.cfg.Fanout && len(m.partners.near) > 1 {
		chosen = m.sample(m.partners.near, m.cfg.Fanout)
	}
	if m.rnd.IntN(reviveShare) == 0 || len(chosen) == 0 {
		chosen = append(chosen, m.sample(m.partners.gone, 1)...)
	}
	chosen = append(chosen, m.again...)
	m.again = m.again[:0]
	out := make([]Action, 0, len(chosen)+1)
	for _, vm := range chosen {
		out = append(out, Exchange{With: vm})
	}
	return out
}

// sample draws up to n different VMs; it reorders from.
func (m *Machine) sample(from []VM, n int) []VM {
	n = max(min(n, len(from)), 0)
	for i := range n {
		j := i + m.rnd.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return append([]VM(nil), from[:n]...)
}

package membership

// reviveShare: one round in reviveShare also tries a VM that is considered dead, so that the two
// sides of a partition find each other after it heals.
const reviveShare = 4

// partners holds the members in the groups from which partners for exchanges are drawn.
type partners struct {
	sameZone, crossZone, dead []VM
}

func (p *partners) sort(members []*member, zone string) {
	p.sameZone, p.crossZone, p.dead = p.sameZone[:0], p.crossZone[:0], p.dead[:0]
	for _, x := range members {
		switch {
		case x.leaving || x.listLeaving:
		case !x.live:
			p.dead = append(p.dead, x.vm)
		case x.vm.Zone == zone:
			p.sameZone = append(p.sameZone, x.vm)
		default:
			p.crossZone = append(p.crossZone, x.vm)
		}
	}
}

// round chooses the partners of a round: one VM in the same availability zone, the others in other
// zones, the VMs whose last exchange was unanswered, and in one round in reviveShare a VM that is
// considered dead.
func (m *Machine) round() []Action {
	chosen := m.sample(m.partners.sameZone, 1)
	chosen = append(chosen, m.sample(m.partners.crossZone, m.cfg.Fanout-len(chosen))...)
	if len(chosen) < m.cfg.Fanout && len(m.partners.sameZone) > 1 {
		chosen = m.sample(m.partners.sameZone, m.cfg.Fanout)
	}
	if m.rnd.IntN(reviveShare) == 0 || len(chosen) == 0 {
		chosen = append(chosen, m.sample(m.partners.dead, 1)...)
	}
	chosen = append(chosen, m.retry...)
	m.retry = m.retry[:0]
	out := make([]Action, 0, len(chosen)+1)
	for _, vm := range chosen {
		out = append(out, Exchange{With: vm})
	}
	return out
}

// sample draws up to n different VMs at random; it reorders from.
func (m *Machine) sample(from []VM, n int) []VM {
	n = max(min(n, len(from)), 0)
	for i := range n {
		j := i + m.rnd.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return append([]VM(nil), from[:n]...)
}

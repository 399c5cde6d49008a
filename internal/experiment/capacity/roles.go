package capacity

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/ownership"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const origin = clock.Time(time.Hour)

var browse = &profile.Kind{
	Name: "browse", Access: profile.Read, Worth: 1,
	MaxAge: 5 * time.Second, Deadline: time.Second,
}

// fleetView returns a view of n groups of three servers, and a tracker with recent evidence on
// each.
func fleetView(n int) (*view.View, *routing.Tracker) {
	v := &view.View{Groups: make(map[string]*view.Group, n)}
	tracker := routing.NewTracker()
	for i := range n {
		g := group(i)
		v.Groups[g.Name] = g
		for k := range g.Servers {
			observe(tracker, g, k, origin)
		}
	}
	return v, tracker
}

func group(i int) *view.Group {
	g := &view.Group{Name: fmt.Sprintf("group-%04d", i), Term: 1, History: timeline.History{{Term: 1}}}
	for _, zone := range []string{"a", "b", "c"} {
		id := target.ID(fmt.Sprintf("group-%04d-%s", i, zone))
		g.Servers = append(g.Servers, view.Server{ID: id, Zone: zone, Addr: "192.0.2.1:5432"})
	}
	g.Primary = g.Servers[0].ID
	return g
}

func observe(tracker *routing.Tracker, g *view.Group, k int, now clock.Time) {
	st := status(g, k, now)
	tracker.Observe(st.Server, st, now, now)
	if k == 0 {
		tracker.ObservePrimary(g.Name, st.Position(), now)
	}
}

func status(g *view.Group, k int, now clock.Time) target.Status {
	st := target.Status{Server: g.Servers[k].ID, Role: target.RoleReplica, Term: 1, Promised: 1, LSN: timeline.LSN(now)}
	if k == 0 {
		st.Role = target.RolePrimary
	}
	return st
}

// routeTime measures the routing decision of a read with n groups in the view.
func routeTime(n int) float64 {
	v, tracker := fleetView(n)
	r := routing.NewRouter(tracker, routing.EvidencePolicy{}, 1)
	g := v.Groups["group-0000"]
	req := routing.Request{Kind: browse, Zone: "b", Now: origin + 1}
	return nanoseconds(func() { r.Route(v, g, req) })
}

// trackerBytes measures the memory of the evidence on n groups with full sample buffers.
func trackerBytes(n int) float64 {
	return heapBytes(func() any {
		v, tracker := fleetView(n)
		for _, g := range v.Groups {
			for i := range clock.Time(300) {
				observe(tracker, g, 0, origin+i*clock.Time(100*time.Millisecond))
			}
		}
		return []any{v, tracker}
	})
}

// probeTime measures the recording of the evidence of one probe round of n groups.
func probeTime(n int) float64 {
	v, tracker := fleetView(n)
	now := origin
	return nanoseconds(func() {
		now += clock.Time(100 * time.Millisecond)
		for _, g := range v.Groups {
			for k := range g.Servers {
				observe(tracker, g, k, now)
			}
		}
	})
}

// queueTime measures one admission and its release while n kinds have a request waiting.
func queueTime(n int) float64 {
	q := admission.NewQueue(admission.Config{Slots: 1, MaxQueued: n + 1})
	now, deadline := origin, origin+clock.Time(time.Hour)
	q.Offer(now, browse, deadline)
	for i := range n {
		q.Offer(now, &profile.Kind{Name: fmt.Sprint(i), Worth: 1}, deadline)
	}
	var granted []admission.Ticket
	return nanoseconds(func() {
		now++
		q.Offer(now, browse, deadline)
		granted = q.Done(now, browse, time.Millisecond, granted[:0])
	})
}

func marks(n int) session.Watermarks {
	m := session.Watermarks{}
	for i := range n {
		m[fmt.Sprintf("group-%04d", i)] = timeline.Position{Term: 3, LSN: 1 << 40}
	}
	return m
}

// tokenTime measures the issue and verification of a session token with n groups.
func tokenTime(n int) float64 {
	secret := bytes.Repeat([]byte("k"), session.MinKeyBytes)
	keys, err := session.NewKeys("k", map[string][]byte{"k": secret})
	if err != nil {
		return 0
	}
	now, m := time.Unix(1_800_000_000, 0), marks(n)
	return nanoseconds(func() {
		token, _ := keys.Issue("user", m, now)
		_, _ = keys.Verify(token, "user", now)
	})
}

// ownerTime measures one second of n groups' state machines: 50 ticks and 30 replies each.
func ownerTime(n int) float64 {
	machines, views := newMachines(n)
	cfg := failover.Default()
	now := origin
	const ticks = 50
	return nanoseconds(func() {
		for range ticks {
			now = now.Add(cfg.Tick)
			for i, m := range machines {
				for _, a := range m.Step(now, failover.Tick{}) {
					respond(m, views[i], a, now)
				}
			}
		}
	})
}

// respond passes the replies of a healthy group and store to a machine.
func respond(m *failover.Machine, g *view.Group, a failover.Action, now clock.Time) {
	switch a := a.(type) {
	case failover.Probe:
		for k := range g.Servers {
			if g.Servers[k].ID == a.Server {
				m.Step(now, failover.ProbeAnswered{Server: a.Server, Asked: a.Asked, Status: status(g, k, now)})
			}
		}
	case failover.RenewLease:
		m.Step(now, failover.LeaseResult{Holder: a.Holder, Version: a.ExpectVersion + 1, Asked: a.Asked})
	case failover.ReadLease:
		m.Step(now, failover.LeaseResult{Asked: a.Asked})
	case failover.Reserve:
		m.Step(now, failover.ReserveResult{Term: a.Group.Reserved, Version: a.ExpectVersion + 1})
	case failover.ReadGroup:
		m.Step(now, failover.GroupLearned{Group: *g, Version: 1})
	}
}

func newMachines(n int) ([]*failover.Machine, []*view.Group) {
	cfg := failover.Default()
	cfg.VM, cfg.Zone, cfg.Incarnation = "vm-0000", "a", "vm-0000/1"
	cfg.Zones = []string{"a", "b", "c"}
	var machines []*failover.Machine
	var views []*view.Group
	for i := range n {
		g := group(i)
		m := failover.New(cfg, g.Name, rand.New(rand.NewPCG(1, uint64(i))))
		m.Step(origin, failover.GroupLearned{Group: *g, Version: 1})
		machines, views = append(machines, m), append(views, g)
	}
	return machines, views
}

func ownerBytes(n int) float64 {
	return heapBytes(func() any {
		machines, views := newMachines(n)
		return []any{machines, views}
	})
}

// profileText returns the text of n profiles of four kinds.
func profileText(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[shop-%d]\nmax-read-age = 10s\ndefault-kind = purchase\n", i)
		fmt.Fprintf(&b, "[shop-%d.purchase]\nkey = required\nworth = 100\ndeadline = 8s\n", i)
		fmt.Fprintf(&b, "[shop-%d.confirm]\nworth = 10\ndeadline = 1s\n", i)
		fmt.Fprintf(&b, "[shop-%d.browse]\naccess = read\nworth = 1\n", i)
	}
	return []byte(b.String())
}

func parseTime(n int) float64 {
	text := profileText(n)
	return nanoseconds(func() { inifile.Parse("p.ini", text) })
}

func profileBytes(n int) float64 {
	return heapBytes(func() any {
		text := profileText(n)
		set, _ := inifile.Parse("p.ini", text)
		return []any{text, set}
	})
}

func vms(n int) []membership.VM {
	out := make([]membership.VM, 0, n)
	for i := range n {
		out = append(out, membership.VM{ID: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprint("zone-", i%6), Addr: "192.0.2.100:7441"})
	}
	return out
}

func newMember(n int) *membership.Machine {
	m := membership.New(membership.Config{Incarnation: 1, Seed: 1}, vms(1)[0])
	var e membership.Listed
	for _, vm := range vms(n) {
		e.VMs = append(e.VMs, store.VM{ID: vm.ID, Zone: vm.Zone, Addr: vm.Addr})
	}
	m.Step(origin, e)
	return m
}

// memberTime measures one round of a membership machine in a fleet of n VMs: a tick and four
// exchanges, two in each direction.
func memberTime(n int) float64 {
	m, all, now := newMember(n), vms(n), origin
	return nanoseconds(func() {
		now += clock.Time(500 * time.Millisecond)
		m.Step(now, membership.Tick{})
		for i := range 4 {
			from := membership.Record{VM: all[(int(now)+i)%n], Incarnation: 1}
			m.Step(now, membership.Exchanged{From: from})
			m.Records(now)
		}
	})
}

func memberBytes(n int) float64 {
	return heapBytes(func() any { return newMember(n) })
}

// assignTime measures the assignment of n groups after a change of the planned fleet's VMs.
func assignTime(n int) float64 {
	all := vms(nodes)
	return nanoseconds(func() {
		ring := ownership.NewRing(all)
		for i := range n {
			ring.Probers(fmt.Sprintf("group-%04d", i), 3)
		}
	})
}

// auditTime measures the creation of an audit entry after n earlier entries.
func auditTime(n int) float64 {
	head, draft := audit.Head{}, auditDraft()
	for range n {
		e := audit.Next(head, draft)
		head = audit.Head{Seq: e.Seq, Digest: e.Digest}
	}
	return nanoseconds(func() { audit.Next(head, draft) })
}

func auditDraft() audit.Draft {
	return audit.Draft{
		ID: "0190f2a0-0000-7000-8000-000000000000", Time: time.Unix(1_800_000_000, 0).UTC(),
		Actor: "operator", Action: audit.ProfileDrafted, Reason: "raise the worth of a confirmation",
		Reviewer: "reviewer", Subject: "drafts/passes", From: strings.Repeat("a", 64), To: strings.Repeat("b", 64),
	}
}

// auditBytes measures the stored length of n audit entries.
func auditBytes(n int) float64 {
	head, entries := audit.Head{}, make([]audit.Entry, 0, n)
	for range n {
		e := audit.Next(head, auditDraft())
		head = audit.Head{Seq: e.Seq, Digest: e.Digest}
		entries = append(entries, e)
	}
	return float64(len(audit.Export(entries)))
}

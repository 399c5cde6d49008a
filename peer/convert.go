package peer

import (
	"time"

	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// GroupState converts a group to its message.
func GroupState(g *view.Group) *peerpb.GroupState {
	out := &peerpb.GroupState{
		Name:       g.Name,
		Term:       uint64(g.Term),
		Primary:    string(g.Primary),
		Reserved:   uint64(g.Reserved),
		ReservedBy: g.ReservedBy,
		Version:    g.Version,
	}
	for _, s := range g.History {
		out.History = append(out.History, &peerpb.TermStart{Term: uint64(s.Term), Lsn: uint64(s.LSN)})
	}
	for _, s := range g.Servers {
		out.Servers = append(out.Servers, &peerpb.Server{Id: string(s.ID), Addr: s.Addr, Zone: s.Zone})
	}
	return out
}

// Group converts a message to its group.
func Group(in *peerpb.GroupState) *view.Group {
	out := &view.Group{
		Name:       in.GetName(),
		Term:       timeline.Term(in.GetTerm()),
		Primary:    target.ID(in.GetPrimary()),
		Reserved:   timeline.Term(in.GetReserved()),
		ReservedBy: in.GetReservedBy(),
		Version:    in.GetVersion(),
	}
	for _, s := range in.GetHistory() {
		out.History = append(out.History, timeline.Start{Term: timeline.Term(s.GetTerm()), LSN: timeline.LSN(s.GetLsn())})
	}
	for _, s := range in.GetServers() {
		out.Servers = append(out.Servers, view.Server{ID: target.ID(s.GetId()), Addr: s.GetAddr(), Zone: s.GetZone()})
	}
	return out
}

// Observation converts a server's newest successful status reply, of the given age, to its
// message. A nil status states that the server has not replied at all for the time age.
func Observation(group string, id target.ID, st *target.Status, age time.Duration) *peerpb.Observation {
	if st == nil {
		return &peerpb.Observation{Group: group, Server: string(id), Never: true, GoodAgeMs: uint64(max(age, 0).Milliseconds())}
	}
	return &peerpb.Observation{
		Group:     group,
		Server:    string(id),
		GoodAgeMs: uint64(max(age, 0).Milliseconds()),
		Role:      uint32(st.Role),
		Term:      uint64(st.Term),
		Promised:  uint64(st.Promised),
		Lsn:       uint64(st.LSN),
		Start:     uint64(st.Start),
	}
}

// Status returns the status of the server that o describes.
func Status(o *peerpb.Observation) target.Status {
	return target.Status{
		Server:   target.ID(o.GetServer()),
		Role:     target.Role(o.GetRole()),
		Term:     timeline.Term(o.GetTerm()),
		Promised: timeline.Term(o.GetPromised()),
		LSN:      timeline.LSN(o.GetLsn()),
		Start:    timeline.LSN(o.GetStart()),
	}
}

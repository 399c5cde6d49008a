package peer

import (
	"time"

	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// GroupState returns the message form of a group. Servers do not travel: a
// daemon has them from the store's object, which a peer cannot replace.
func GroupState(g *view.Group) *peerpb.GroupState {
	out := &peerpb.GroupState{
		Name:       g.Name,
		Term:       uint64(g.Term),
		Primary:    string(g.Primary),
		Reserved:   uint64(g.Reserved),
		ReservedBy: g.ReservedBy,
	}
	for _, s := range g.History {
		out.History = append(out.History, &peerpb.TermStart{Term: uint64(s.Term), Lsn: uint64(s.LSN)})
	}
	return out
}

// Group returns the group that in describes, with the servers of known. It is
// nil if known is nil.
func Group(in *peerpb.GroupState, known *view.Group) *view.Group {
	if known == nil {
		return nil
	}
	out := &view.Group{
		Name:       known.Name,
		Term:       timeline.Term(in.GetTerm()),
		Primary:    target.ID(in.GetPrimary()),
		Reserved:   timeline.Term(in.GetReserved()),
		ReservedBy: in.GetReservedBy(),
		Servers:    known.Servers,
	}
	for _, s := range in.GetHistory() {
		out.History = append(out.History, timeline.Start{Term: timeline.Term(s.GetTerm()), LSN: timeline.LSN(s.GetLsn())})
	}
	return out
}

// Observation returns the message form of one server's newest good answer; a
// nil status says that there was none.
func Observation(group string, id target.ID, st *target.Status, age time.Duration) *peerpb.Observation {
	if st == nil {
		return &peerpb.Observation{Group: group, Server: string(id), Never: true}
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

// Status returns what an observation says of its server.
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

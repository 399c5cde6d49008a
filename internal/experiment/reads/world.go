package reads

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivemoor.example/endivemoor/internal/experiment/sim"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	proxies   = 8
	readRate  = 1500.0 // a second, over all proxies
	writeRate = 200.0
	readTime  = 1500 * time.Microsecond
	writeTime = 3 * time.Millisecond
	// justWrote is the share of reads by a session that wrote thinkTime ago.
	justWrote = 0.05
	thinkTime = 50 * time.Millisecond
	pollEvery = 100 * time.Millisecond
	nearby    = 250 * time.Microsecond
	remote    = 1500 * time.Microsecond
	warmUp    = 5 * time.Second
	measured  = 60 * time.Second
	// Typical is the replicas' usual lag.
	Typical = 200 * time.Millisecond
)

// Setup is what a run is made of.
type Setup struct {
	Policy routing.Policy
	// Lag is the replicas' usual lag.
	Lag  time.Duration
	Seed uint64
	// Guards takes guards of routing out, to see that a judge finds what they
	// let through.
	Guards guard.Set
}

// browse is the read kind under test.
var browse = &profile.Kind{
	Name: "browse", Access: profile.Read,
	MaxAge: 5 * time.Second, Deadline: 2 * time.Second,
}

// ids are the servers; the first is the primary.
var ids = []target.ID{"a", "b", "c"}

// world is one run: a group, its proxies and its callers.
type world struct {
	s       *sim.Scheduler
	rnd     *rand.Rand
	log     *log
	servers map[target.ID]*server
	replays map[target.ID]*replication
	view    *view.View
	group   *view.Group
	proxies []*proxy
	tally   Tally
	// recording is set after the warm-up.
	recording bool
	setup     Setup
	cut       *cut
}

// proxy is one VM's board and router.
type proxy struct {
	zone string
	// group is the group as the proxy knows it.
	group  *view.Group
	board  *routing.Tracker
	router *routing.Router
}

// Tally is what a run showed.
type Tally struct {
	Reads, ByReplica, ByPrimary int
	// Failed reads got an error or no answer within their deadline.
	Failed int
	// Stale reads were older than MaxAge when routed; Unread ones lacked the
	// session's own write.
	Stale, Unread int
	Writes        int
	ReadLatency   *hdrhistogram.Histogram
	WriteLatency  *hdrhistogram.Histogram
	// PrimaryBusy is the share of the primary's slots in use.
	PrimaryBusy float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func newWorld(setup Setup) *world {
	rnd := rand.New(rand.NewPCG(setup.Seed, 1))
	w := &world{
		s: sim.New(), rnd: rnd, log: &log{},
		servers: map[target.ID]*server{},
		replays: map[target.ID]*replication{},
		setup:   setup,
	}
	w.tally.ReadLatency, w.tally.WriteLatency = newHistogram(), newHistogram()
	w.group = &view.Group{Name: "g", Term: 1, Primary: "a", History: timeline.History{{Term: 1}}}
	for i, id := range ids {
		w.servers[id] = &server{s: w.s, rnd: rnd}
		w.group.Servers = append(w.group.Servers, view.Server{ID: id, Zone: zone(i)})
		if i > 0 {
			w.replays[id] = w.replica()
		}
	}
	w.view = &view.View{}
	for i := range proxies {
		b := routing.NewTracker()
		b.Guards = setup.Guards
		w.proxies = append(w.proxies, &proxy{
			zone: zone(i), board: b, group: w.group,
			router: routing.NewRouter(b, setup.Policy, setup.Seed+uint64(i)),
		})
	}
	return w
}

func (w *world) replica() *replication {
	return &replication{log: w.log, rnd: w.rnd, mean: w.setup.Lag, lag: w.setup.Lag}
}

func zone(i int) string { return string(rune('1' + i%3)) }

// hop is the one-way time between a proxy and a server.
func (w *world) hop(p *proxy, s *view.Server) time.Duration {
	if p.zone == s.Zone {
		return nearby
	}
	return remote
}

func (w *world) start() {
	w.s.Every(lagStep, func() {
		for _, id := range ids {
			if r := w.replays[id]; r != nil {
				r.step(w.s.Now())
			}
		}
	})
	for i, p := range w.proxies {
		w.s.After(time.Duration(i)*pollEvery/proxies, func() {
			w.s.Every(pollEvery, func() { w.poll(p) })
		})
	}
	w.arrivals(readRate, func() { w.anyRead() })
	w.arrivals(writeRate, func() { w.write(w.writer(), func(timeline.Position) {}) })
}

// arrivals calls f at the instants of a Poisson process.
func (w *world) arrivals(rate float64, f func()) {
	w.s.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		f()
		w.arrivals(rate, f)
	})
}

func (w *world) anyProxy() *proxy { return w.proxies[w.rnd.IntN(len(w.proxies))] }

// writer is a proxy that reaches the primary.
func (w *world) writer() *proxy {
	for {
		if p := w.anyProxy(); w.reaches(p, w.group.Primary) {
			return p
		}
	}
}

// poll asks each server for its status, as the control connections do.
func (w *world) poll(p *proxy) {
	asked := w.s.Now()
	for i := range w.group.Servers {
		srv := &w.group.Servers[i]
		if !w.reaches(p, srv.ID) {
			continue
		}
		hop := w.hop(p, srv)
		w.s.After(hop, func() {
			st := w.status(srv.ID)
			w.s.After(hop, func() {
				p.board.Observe(srv.ID, st, asked, w.s.Now())
				if st.Role == target.RolePrimary {
					p.board.ObservePrimary("g", st.Position(), asked)
				}
			})
		})
	}
}

func (w *world) status(id target.ID) target.Status {
	at := w.place(id)
	st := target.Status{Server: id, Role: target.RoleReplica, Term: at.Term, Promised: at.Term, LSN: at.LSN}
	if id == w.group.Primary || w.cut.isolates(id) {
		st.Role = target.RolePrimary
	}
	return st
}

// place is the server's true position.
func (w *world) place(id target.ID) timeline.Position {
	switch {
	case w.cut.isolates(id):
		return w.cut.kept
	case id == w.group.Primary:
		return timeline.Position{Term: w.group.Term, LSN: timeline.LSN(len(w.log.commits))}
	default:
		return timeline.Position{Term: w.group.Term, LSN: w.replays[id].applied}
	}
}

// write runs a write at the primary and tells its position.
func (w *world) write(p *proxy, done func(timeline.Position)) {
	began := w.s.Now()
	if w.cut.refusesWrites(began) {
		return
	}
	primary := w.group.Server(w.group.Primary)
	hop := w.hop(p, primary)
	p.board.Begin(primary.ID, began)
	w.s.After(hop, func() {
		w.servers[primary.ID].do(writeTime, func() {}, func(bool) {
			at := timeline.Position{Term: w.group.Term, LSN: w.log.append(w.s.Now())}
			w.s.After(hop, func() {
				p.board.End(primary.ID, w.s.Now(), w.s.Now().Sub(began), false)
				if w.recording {
					w.tally.Writes++
					w.record(w.tally.WriteLatency, w.s.Now().Sub(began))
				}
				done(at)
			})
		})
	})
}

func (w *world) record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), h.HighestTrackableValue()))
}

// anyRead starts a read; one in twenty follows the session's own write.
func (w *world) anyRead() {
	if w.rnd.Float64() >= justWrote {
		w.read(w.anyProxy(), timeline.Position{})
		return
	}
	w.write(w.writer(), func(at timeline.Position) {
		think := time.Duration(w.rnd.ExpFloat64() * float64(thinkTime))
		w.s.After(think, func() { w.read(w.anyProxy(), at) })
	})
}

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
	readRate  = 1500.0 // per second, over all proxies
	writeRate = 200.0
	readTime  = 1500 * time.Microsecond
	writeTime = 3 * time.Millisecond
	// ownWriteShare is the share of reads by a session that wrote thinkTime ago.
	ownWriteShare  = 0.05
	thinkTime      = 50 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	sameZoneDelay  = 250 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
	warmUp         = 5 * time.Second
	measuredFor    = 60 * time.Second
	// Typical is the replicas' usual lag.
	Typical = 200 * time.Millisecond
)

// Setup is the configuration of a run.
type Setup struct {
	Policy routing.Policy
	// Lag is the replicas' usual lag.
	Lag  time.Duration
	Seed uint64
	// Guards disables guards of routing, to test that a checker finds the reads that they prevent.
	Guards guard.Set
}

// browse is the read kind under test.
var browse = &profile.Kind{
	Name: "browse", Access: profile.Read,
	MaxAge: 5 * time.Second, Deadline: 2 * time.Second,
}

// ids are the servers; the first is the primary.
var ids = []target.ID{"a", "b", "c"}

// world is the state of one run: a group, its proxies and its callers.
type world struct {
	s            *sim.Scheduler
	rnd          *rand.Rand
	log          *log
	servers      map[target.ID]*server
	replications map[target.ID]*replication
	view         *view.View
	group        *view.Group
	proxies      []*proxy
	tally        Tally
	// recording is set after the warm-up.
	recording bool
	setup     Setup
	partition *partition
}

// proxy is one VM's evidence tracker and router.
type proxy struct {
	zone string
	// group is the proxy's newest state of the group.
	group   *view.Group
	tracker *routing.Tracker
	router  *routing.Router
}

// Tally accumulates the results of one or more runs.
type Tally struct {
	Reads, ByReplica, ByPrimary int
	// Failed is the number of reads that got an error, or no reply within their deadline.
	Failed int
	// Stale is the number of reads whose data was older than MaxAge when they were routed.
	// OwnWritesMissed is the number of reads that lacked the session's own write.
	Stale, OwnWritesMissed int
	Writes                 int
	ReadLatency            *hdrhistogram.Histogram
	WriteLatency           *hdrhistogram.Histogram
	// PrimaryBusy is the mean share of the primary's slots in use.
	PrimaryBusy float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func newWorld(setup Setup) *world {
	rnd := rand.New(rand.NewPCG(setup.Seed, 1))
	w := &world{
		s: sim.New(), rnd: rnd, log: &log{},
		servers:      map[target.ID]*server{},
		replications: map[target.ID]*replication{},
		setup:        setup,
	}
	w.tally.ReadLatency, w.tally.WriteLatency = newHistogram(), newHistogram()
	w.group = &view.Group{Name: "g", Term: 1, Primary: "a", History: timeline.History{{Term: 1}}}
	for i, id := range ids {
		w.servers[id] = &server{s: w.s, rnd: rnd}
		w.group.Servers = append(w.group.Servers, view.Server{ID: id, Zone: zone(i)})
		if i > 0 {
			w.replications[id] = w.newReplication()
		}
	}
	w.view = &view.View{}
	for i := range proxies {
		b := routing.NewTracker()
		b.Guards = setup.Guards
		w.proxies = append(w.proxies, &proxy{
			zone: zone(i), tracker: b, group: w.group,
			router: routing.NewRouter(b, setup.Policy, setup.Seed+uint64(i)),
		})
	}
	return w
}

func (w *world) newReplication() *replication {
	return &replication{log: w.log, rnd: w.rnd, mean: w.setup.Lag, lag: w.setup.Lag}
}

func zone(i int) string { return string(rune('1' + i%3)) }

// networkDelay returns the one-way network delay between a proxy and a server.
func (w *world) networkDelay(p *proxy, s *view.Server) time.Duration {
	if p.zone == s.Zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (w *world) start() {
	w.s.Every(lagStep, func() {
		for _, id := range ids {
			if r := w.replications[id]; r != nil {
				r.step(w.s.Now())
			}
		}
	})
	for i, p := range w.proxies {
		w.s.After(time.Duration(i)*pollInterval/proxies, func() {
			w.s.Every(pollInterval, func() { w.poll(p) })
		})
	}
	w.arrivals(readRate, func() { w.startRead() })
	w.arrivals(writeRate, func() { w.write(w.writer(), func(timeline.Position) {}) })
}

// arrivals calls f at the event times of a Poisson process with the given rate per second.
func (w *world) arrivals(rate float64, f func()) {
	w.s.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		f()
		w.arrivals(rate, f)
	})
}

func (w *world) randomProxy() *proxy { return w.proxies[w.rnd.IntN(len(w.proxies))] }

// writer returns a random proxy that can reach the primary.
func (w *world) writer() *proxy {
	for {
		if p := w.randomProxy(); w.canReach(p, w.group.Primary) {
			return p
		}
	}
}

// poll sends a status query to each server, as the control connections do.
func (w *world) poll(p *proxy) {
	askedAt := w.s.Now()
	for i := range w.group.Servers {
		srv := &w.group.Servers[i]
		if !w.canReach(p, srv.ID) {
			continue
		}
		delay := w.networkDelay(p, srv)
		w.s.After(delay, func() {
			st := w.status(srv.ID)
			w.s.After(delay, func() {
				p.tracker.Observe(srv.ID, st, askedAt, w.s.Now())
				if st.Role == target.RolePrimary {
					p.tracker.ObservePrimary("g", st.Position(), askedAt)
				}
			})
		})
	}
}

func (w *world) status(id target.ID) target.Status {
	at := w.position(id)
	st := target.Status{Server: id, Role: target.RoleReplica, Term: at.Term, Promised: at.Term, LSN: at.LSN}
	if id == w.group.Primary || w.partition.isolates(id) {
		st.Role = target.RolePrimary
	}
	return st
}

// position returns the server's true position.
func (w *world) position(id target.ID) timeline.Position {
	switch {
	case w.partition.isolates(id):
		return w.partition.oldPosition
	case id == w.group.Primary:
		return timeline.Position{Term: w.group.Term, LSN: timeline.LSN(len(w.log.commits))}
	default:
		return timeline.Position{Term: w.group.Term, LSN: w.replications[id].applied}
	}
}

// write runs a write on the primary and passes its position to done.
func (w *world) write(p *proxy, done func(timeline.Position)) {
	start := w.s.Now()
	if w.partition.refusesWrites(start) {
		return
	}
	primary := w.group.Server(w.group.Primary)
	delay := w.networkDelay(p, primary)
	p.tracker.Begin(primary.ID, start)
	w.s.After(delay, func() {
		w.servers[primary.ID].execute(writeTime, func() {}, func(bool) {
			at := timeline.Position{Term: w.group.Term, LSN: w.log.append(w.s.Now())}
			w.s.After(delay, func() {
				p.tracker.End(primary.ID, w.s.Now(), w.s.Now().Sub(start), false)
				if w.recording {
					w.tally.Writes++
					w.record(w.tally.WriteLatency, w.s.Now().Sub(start))
				}
				done(at)
			})
		})
	})
}

func (w *world) record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), h.HighestTrackableValue()))
}

// startRead starts a read. One read in twenty follows a write of its own session.
func (w *world) startRead() {
	if w.rnd.Float64() >= ownWriteShare {
		w.read(w.randomProxy(), timeline.Position{})
		return
	}
	w.write(w.writer(), func(at timeline.Position) {
		think := time.Duration(w.rnd.ExpFloat64() * float64(thinkTime))
		w.s.After(think, func() { w.read(w.randomProxy(), at) })
	})
}

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// exchangeTimeout limits one call to a peer.
	exchangeTimeout = 800 * time.Millisecond
	// relayFanout is the number of peers to which this VM forwards an update as soon as it
	// receives it.
	relayFanout = 4
)

// Exchange drives membership.Machine and exchanges updates with peers: the terms of groups, drain
// states and the configuration. It is the only caller of the machine.
type Exchange struct {
	clk        clock.Clock
	views      *view.Holder
	config     *Configuration
	clients    *peer.Clients
	store      store.Store
	assignment *Assignment
	drains     *Drains
	fleet      *Fleet
	log        *zap.Logger
	// onGroup is called with every group state that a peer sends.
	onGroup func(*view.Group)
	// onDrain is called with every drain state that a peer sends.
	onDrain func(id target.ID, draining bool, revision int64)
	// onChange is called with the live VMs whenever they change.
	onChange func(live []membership.VM)

	mu      sync.Mutex
	machine *membership.Machine
	rng     *rand.Rand
	// index describes the groups of the newest view. rotation is the position in it of the group
	// that was last sent to a peer whose groups differ.
	index    groupIndex
	rotation int
	// changed is when this VM last saw a new term of a group, and terms is the newest term of each
	// group that it has seen.
	changed map[string]clock.Time
	terms   map[string]timeline.Term
}

// ExchangeConfig holds the dependencies of an Exchange.
type ExchangeConfig struct {
	Clock      clock.Clock
	Views      *view.Holder
	Config     *Configuration
	Clients    *peer.Clients
	Store      store.Store
	Assignment *Assignment
	Drains     *Drains
	Log        *zap.Logger
	OnGroup    func(*view.Group)
	OnDrain    func(id target.ID, draining bool, revision int64)
	OnChange   func([]membership.VM)
	Machine    *membership.Machine
	Rand       *rand.Rand
}

// NewExchange returns an Exchange that has discovered no peer yet.
func NewExchange(c ExchangeConfig) *Exchange {
	return &Exchange{
		clk: c.Clock, views: c.Views, config: c.Config, clients: c.Clients, store: c.Store, assignment: c.Assignment, drains: c.Drains, onDrain: c.OnDrain,
		log: c.Log, onGroup: c.OnGroup, onChange: c.OnChange, machine: c.Machine, rng: c.Rand,
		changed: map[string]clock.Time{}, terms: map[string]timeline.Term{},
		fleet: NewFleet(c.Clock, c.Machine.Self().VM.ID),
	}
}

// Run ticks the machine at the given interval, and reads the VM list, until ctx ends.
func (x *Exchange) Run(ctx context.Context, interval time.Duration) {
	go x.pollVMList(ctx)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.step(ctx, membership.Tick{})
		}
	}
}

// Leave reports to some peers that this VM is shutting down.
func (x *Exchange) Leave(ctx context.Context) {
	x.step(ctx, membership.Leave{})
	for _, vm := range x.randomPeers(relayFanout) {
		x.exchangeWith(ctx, vm)
	}
}

func (x *Exchange) pollVMList(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := x.store.VMs(ctx)
		if err != nil {
			x.log.Warn("vm_list_failed", zap.Error(err))
		} else {
			x.fleet.RecordListed(vms)
			x.step(ctx, membership.Listed{VMs: vms})
		}
		wait.For(ctx, x.assignment.ListInterval(err == nil))
	}
}

func (x *Exchange) step(ctx context.Context, ev membership.Event) {
	x.mu.Lock()
	actions := x.machine.Step(x.clk.Now(), ev)
	live := x.machine.Live()
	x.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Exchange:
			go x.exchangeWith(ctx, a.With)
		case membership.Changed:
			x.onChange(live)
		}
	}
}

// Live returns the VMs that are considered live, including this one.
func (x *Exchange) Live() []membership.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.machine.Live())
}

// Fleet returns the configuration that each VM has in force, this one included, as last reported
// to this VM.
func (x *Exchange) Fleet() []FleetVM {
	x.mu.Lock()
	self := x.machine.Self()
	x.mu.Unlock()
	own := FleetVM{VM: self.VM.ID, Zone: self.VM.Zone, Generation: x.config.Current().Generation, Leaving: self.Leaving}
	return append([]FleetVM{own}, x.fleet.VMs()...)
}

// exchangeWith sends this VM's state to a peer and merges the peer's reply.
func (x *Exchange) exchangeWith(ctx context.Context, vm membership.VM) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := x.clients.At(vm.Addr).Exchange(ctx, x.request())
	if err != nil {
		x.step(ctx, membership.Unanswered{ID: vm.ID})
		return
	}
	x.mergeMembers(ctx, reply.GetReceiver(), reply.GetMembers())
	x.mergeGroups(reply.GetGroups())
	x.mergeDrains(reply.GetDrains())
	x.mergeConfiguration(reply.GetConfiguration(), vm.ID)
	x.pushConfiguration(ctx, vm, reply.GetGeneration())
}

// pushConfiguration sends the set in force to a peer that has an older one.
func (x *Exchange) pushConfiguration(ctx context.Context, vm membership.VM, has uint64) {
	current := x.config.Current()
	if has >= uint64(current.Generation) {
		return
	}
	req := x.request()
	req.Configuration = configurationMessage(current)
	if _, err := x.clients.At(vm.Addr).Exchange(ctx, req); err != nil {
		x.log.Debug("push_failed", zap.String("peer", vm.ID), zap.Error(err))
	}
}

func (x *Exchange) request() *peerpb.ExchangeRequest {
	self, others := x.members()
	groups, digest := x.recentGroups()
	return &peerpb.ExchangeRequest{
		Sender:       self,
		Members:      others,
		Groups:       groups,
		Drains:       x.drains.messages(),
		Generation:   uint64(x.config.Current().Generation),
		WantGroups:   len(x.views.Load().Groups) == 0,
		GroupsDigest: digest,
	}
}

// OnExchange implements peer.Handler.
func (x *Exchange) OnExchange(_ context.Context, in *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	ctx := context.Background()
	x.mergeMembers(ctx, in.GetSender(), in.GetMembers())
	x.mergeGroups(in.GetGroups())
	x.mergeDrains(in.GetDrains())
	x.mergeConfiguration(in.GetConfiguration(), in.GetSender().GetVm())
	self, others := x.members()
	current := x.config.Current()
	reply := &peerpb.ExchangeReply{Receiver: self, Members: others, Groups: x.answerGroups(in), Drains: x.drains.messages(), Generation: uint64(current.Generation)}
	if in.GetGeneration() < uint64(current.Generation) {
		reply.Configuration = configurationMessage(current)
	}
	return reply
}

func configurationMessage(p Published) *peerpb.Configuration {
	return &peerpb.Configuration{Generation: uint64(p.Generation), Digest: p.Digest, Text: p.Text}
}

func (x *Exchange) mergeConfiguration(in *peerpb.Configuration, from string) {
	if in == nil {
		return
	}
	p := Published{Generation: profile.Generation(in.GetGeneration()), Digest: in.GetDigest(), Text: in.GetText()}
	if x.config.Offer(p, from) {
		x.Relay()
	}
}

func (x *Exchange) mergeDrains(in []*peerpb.Drain) {
	for _, d := range in {
		x.onDrain(target.ID(d.GetTarget()), d.GetDraining(), d.GetRevision())
	}
}

func (x *Exchange) mergeGroups(in []*peerpb.GroupState) {
	updated := false
	for _, state := range in {
		group := peer.Group(state)
		known := x.views.Load().Groups[group.Name]
		updated = updated || known == nil || group.Term > known.Term
		x.onGroup(group)
	}
	if updated {
		x.Relay()
	}
}

// Relay implements PeerEvidence: it starts exchanges with some peers at once instead of at the
// next tick. Each VM relays each update once, so an update reaches a fleet of n VMs in about log n
// hops.
func (x *Exchange) Relay() {
	for _, vm := range x.randomPeers(relayFanout) {
		go x.exchangeWith(context.Background(), vm)
	}
}

// randomPeers returns up to n other live VMs in random order.
func (x *Exchange) randomPeers(n int) []membership.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	self := x.machine.Self().VM.ID
	others := slices.DeleteFunc(slices.Clone(x.machine.Live()), func(vm membership.VM) bool { return vm.ID == self })
	x.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

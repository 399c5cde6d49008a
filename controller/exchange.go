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
	// exchangeTimeout bounds one call to a peer.
	exchangeTimeout = 800 * time.Millisecond
	// relayTo is how many peers hear at once of news that this VM just heard.
	relayTo = 4
)

// Exchange drives membership.Machine and carries news between peers: groups'
// terms and the configuration. It is the only writer of the machine.
type Exchange struct {
	clk     clock.Clock
	views   *view.Holder
	config  *Configuration
	clients *peer.Clients
	store   store.Store
	duty    *Duty
	drains  *Drains
	fleet   *Fleet
	log     *zap.Logger
	// onGroup is told of every group state that a peer sent.
	onGroup func(*view.Group)
	// onDrain is told of every drain that a peer knows.
	onDrain func(id target.ID, draining bool, revision int64)
	// onChange is told of every change of the live VMs.
	onChange func(live []membership.VM)

	mu      sync.Mutex
	machine *membership.Machine
	rng     *rand.Rand
	// groups is the newest view's; turn is the place among them of the next that
	// goes to a peer that knows others.
	groups knownGroups
	turn   int
	// changed is when a group last got a new term here, and terms which one.
	changed map[string]clock.Time
	terms   map[string]timeline.Term
}

// ExchangeConfig is what NewExchange needs.
type ExchangeConfig struct {
	Clock    clock.Clock
	Views    *view.Holder
	Config   *Configuration
	Clients  *peer.Clients
	Store    store.Store
	Duty     *Duty
	Drains   *Drains
	Log      *zap.Logger
	OnGroup  func(*view.Group)
	OnDrain  func(id target.ID, draining bool, revision int64)
	OnChange func([]membership.VM)
	Machine  *membership.Machine
	Rand     *rand.Rand
}

// NewExchange returns the controller.
func NewExchange(c ExchangeConfig) *Exchange {
	return &Exchange{
		clk: c.Clock, views: c.Views, config: c.Config, clients: c.Clients, store: c.Store, duty: c.Duty, drains: c.Drains, onDrain: c.OnDrain,
		log: c.Log, onGroup: c.OnGroup, onChange: c.OnChange, machine: c.Machine, rng: c.Rand,
		changed: map[string]clock.Time{}, terms: map[string]timeline.Term{},
		fleet: NewFleet(c.Clock, c.Machine.Self().VM.ID),
	}
}

// Run ticks the machine and reads the VM list until ctx ends.
func (x *Exchange) Run(ctx context.Context, interval time.Duration) {
	go x.readLists(ctx)
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

// Leave tells peers that this VM drains.
func (x *Exchange) Leave(ctx context.Context) {
	x.step(ctx, membership.Leave{})
	for _, vm := range x.some(relayTo) {
		x.exchangeWith(ctx, vm)
	}
}

func (x *Exchange) readLists(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := x.store.VMs(ctx)
		if err != nil {
			x.log.Warn("vm_list_failed", zap.Error(err))
		} else {
			x.fleet.List(vms)
			x.step(ctx, membership.Listed{VMs: vms})
		}
		wait.For(ctx, x.duty.ListInterval(err == nil))
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

// Live returns the VMs believed to be live, this one included.
func (x *Exchange) Live() []membership.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.machine.Live())
}

// Fleet returns what each VM of the fleet has in force, this one included, as
// far as is known here.
func (x *Exchange) Fleet() []FleetVM {
	x.mu.Lock()
	self := x.machine.Self()
	x.mu.Unlock()
	own := FleetVM{VM: self.VM.ID, Zone: self.VM.Zone, Generation: x.config.Current().Generation, Leaving: self.Leaving}
	return append([]FleetVM{own}, x.fleet.VMs()...)
}

// exchangeWith pushes what this VM knows and takes in what comes back.
func (x *Exchange) exchangeWith(ctx context.Context, vm membership.VM) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := x.clients.At(vm.Addr).Exchange(ctx, x.request())
	if err != nil {
		x.step(ctx, membership.Unanswered{ID: vm.ID})
		return
	}
	x.takeMembers(ctx, reply.GetReceiver(), reply.GetMembers())
	x.takeGroups(reply.GetGroups())
	x.takeDrains(reply.GetDrains())
	x.takeConfiguration(reply.GetConfiguration(), vm.ID)
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
	groups, digest := x.news()
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
	x.takeMembers(ctx, in.GetSender(), in.GetMembers())
	x.takeGroups(in.GetGroups())
	x.takeDrains(in.GetDrains())
	x.takeConfiguration(in.GetConfiguration(), in.GetSender().GetVm())
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

func (x *Exchange) takeConfiguration(in *peerpb.Configuration, from string) {
	if in == nil {
		return
	}
	p := Published{Generation: profile.Generation(in.GetGeneration()), Digest: in.GetDigest(), Text: in.GetText()}
	if x.config.Offer(p, from) {
		x.Relay()
	}
}

func (x *Exchange) takeDrains(in []*peerpb.Drain) {
	for _, d := range in {
		x.onDrain(target.ID(d.GetTarget()), d.GetDraining(), d.GetRevision())
	}
}

func (x *Exchange) takeGroups(in []*peerpb.GroupState) {
	news := false
	for _, state := range in {
		group := peer.Group(state)
		known := x.views.Load().Groups[group.Name]
		news = news || known == nil || group.Term > known.Term
		x.onGroup(group)
	}
	if news {
		x.Relay()
	}
}

// Relay implements PeerEvidence: it passes news on at once instead of at the next tick. Each VM does so
// once for each piece of news, so it reaches a fleet of n in about log n hops.
func (x *Exchange) Relay() {
	for _, vm := range x.some(relayTo) {
		go x.exchangeWith(context.Background(), vm)
	}
}

// some returns up to n other live VMs in random order.
func (x *Exchange) some(n int) []membership.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	self := x.machine.Self().VM.ID
	others := slices.DeleteFunc(slices.Clone(x.machine.Live()), func(vm membership.VM) bool { return vm.ID == self })
	x.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

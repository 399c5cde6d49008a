package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// What the deployments promise: within a window, at most this much above the limit.
const (
	window = 5 * time.Second
	excess = 0.1
	margin = 20
)

const workspace = "w"

// fleet plays VMs that ask owners for tokens, as package edge does, without a network.
type fleet struct {
	now  clock.Time
	vms  map[string]*vm
	list []catalog.VM
	// owners are those by the list: at a thousand VMs each of them would draw the same.
	owners []catalog.VM
	w      catalog.Workspace
	// ran are the moments at which operations were let through.
	ran []clock.Time
	// limits are those in force, with their moments.
	limits []limited
}

type limited struct {
	at clock.Time
	w  catalog.Workspace
}

type vm struct {
	catalog.VM
	plan   *Plan
	ledger *Ledger
	purse  *Purse
	down   bool
	group  int // VMs of other groups cannot be reached
	frozen clock.Time
}

func newFleet(n int, w catalog.Workspace) *fleet {
	f := &fleet{now: clock.Time(time.Hour), vms: make(map[string]*vm), w: w}
	f.limits = []limited{{f.now, w}}
	for i := range n {
		f.list = append(f.list, catalog.VM{ID: fmt.Sprintf("vm%04d", i), Zone: fmt.Sprint("z", i%3)})
	}
	f.owners = choose(workspace, f.list)
	for _, e := range f.list {
		f.vms[e.ID] = &vm{VM: e}
		f.start(f.vms[e.ID])
	}
	return f
}

// start begins a VM's process anew.
func (f *fleet) start(v *vm) {
	v.down = false
	v.plan = NewPlan(v.ID, nil, f.now).Next(f.list, f.now)
	v.plan.of[workspace] = f.owners
	v.ledger, v.purse = NewLedger(margin), NewPurse()
}

// relist changes the fleet's list, of which the VMs that can be told learn at once.
func (f *fleet) relist(list []catalog.VM, tells func(v *vm) bool) {
	f.list, f.owners = list, choose(workspace, list)
	for _, v := range f.vms {
		if !v.down && tells(v) {
			v.plan = v.plan.Next(list, f.now)
			v.plan.of[workspace] = f.owners
		}
	}
}

func (f *fleet) draw(owner *vm, want int) (int, time.Duration) {
	part := owner.plan.Part(workspace, f.now)
	if part.Of == 0 {
		return 0, 0
	}
	return owner.ledger.Grant(f.now, &f.w, part, want)
}

// operate asks a VM to let one operation through.
func (f *fleet) operate(v *vm) bool {
	if v.down || f.now.Before(v.frozen) {
		return false
	}
	v.purse.Asked(f.now, workspace)
	if v.purse.Spend(f.now, workspace) {
		f.ran = append(f.ran, f.now)
		return true
	}
	if v.purse.Closed(f.now, workspace) > 0 {
		return false
	}
	comeBack := time.Second
	for _, e := range v.plan.Nearest(workspace, v.Zone) {
		owner := f.vms[e.ID]
		if owner == nil || owner.down || owner.group != v.group || f.now.Before(owner.frozen) {
			continue
		}
		tokens, after := f.draw(owner, v.purse.Want(f.now, workspace))
		v.purse.Put(workspace, f.now, tokens)
		if v.purse.Spend(f.now, workspace) {
			f.ran = append(f.ran, f.now)
			return true
		}
		comeBack = min(comeBack, after)
	}
	v.purse.Close(f.now, workspace, comeBack)
	return false
}

// check slides the window over all that was let through.
func (f *fleet) check(t require.TestingT) {
	last := 0
	for first, from := range f.ran {
		for last < len(f.ran) && f.ran[last].Sub(from) < window {
			last++
		}
		most := 0.0
		for i, l := range f.limits {
			ended := i+1 < len(f.limits) && f.limits[i+1].at < from
			if !ended && l.at < from.Add(window) {
				most = max(most, (l.w.Rate*window.Seconds()+l.w.Burst)*(1+excess)+margin)
			}
		}
		require.LessOrEqual(t, float64(last-first), most, "operations from %v on", from)
	}
}

func limit(rate float64) catalog.Workspace {
	return catalog.Workspace{Name: workspace, Limited: true, Rate: rate, Burst: rate}
}

// Guards against: operations refused though the workspace asks for less than its limit.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	for _, n := range []int{1, 3, 76, 1000} {
		for _, rate := range []float64{2, 20, 125} {
			f := newFleet(n, limit(rate))
			every := time.Duration(float64(time.Second) / rate * 1.25)
			refused, asked := 0, 0
			for at := 0; f.now < clock.Time(time.Hour+20*time.Second); at++ {
				f.now = f.now.Add(every)
				asked++
				if !f.operate(f.vms[f.list[(at*31)%n].ID]) {
					refused++
				}
			}
			require.Zero(t, refused, "%d VMs, %v a second, of %d", n, rate, asked)
			f.check(t)
		}
	}
}

// Guards against: a limit that lets less through than it says while a workspace floods the fleet.
func TestAFloodGetsItsLimit(t *testing.T) {
	for _, n := range []int{3, 76, 1000} {
		for _, rate := range []float64{5, 23, 125} {
			f := newFleet(n, limit(rate))
			for at := 0; f.now < clock.Time(time.Hour+20*time.Second); at++ {
				f.now = f.now.Add(time.Duration(float64(time.Second) / rate / 7.5))
				f.operate(f.vms[f.list[(at*31)%n].ID])
			}
			require.Greater(t, float64(len(f.ran)), 0.95*(20*rate+rate), "%d VMs, %v a second", n, rate)
			f.check(t)
		}
	}
}

// Guards against: a fleet that grants the burst again with each start.
func TestRestartsGrantNoBurst(t *testing.T) {
	f := newFleet(76, limit(125))
	for round := range 6 {
		for _, v := range f.vms {
			f.start(v)
		}
		for at := range 1500 {
			f.now = f.now.Add(time.Millisecond / 2)
			f.operate(f.vms[f.list[(at*31+round)%76].ID])
		}
	}
	f.check(t)
}

// Guards against: a workspace that loses more than a third of its limit with an owner.
func TestTwoPartsOfThreeGoOnWithoutAnOwner(t *testing.T) {
	f := newFleet(76, limit(20))
	f.vms[f.vms[f.list[0].ID].plan.Owners(workspace)[0].ID].down = true
	refused := 0
	for at := range 240 {
		f.now = f.now.Add(time.Second / 12)
		if v := f.vms[f.list[(at*31)%76].ID]; !v.down && !f.operate(v) {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 3)
}

// Guards against: two VMs that both act as the owner of one part, as one joins and the other has not heard of it.
func TestANewOwnerWaitsForTheFormerOne(t *testing.T) {
	f := newFleet(30, limit(60))
	former := f.owners
	joined := f.joining()
	f.vms[joined.ID] = &vm{VM: joined}
	f.start(f.vms[joined.ID])
	f.relist(append(slices.Clone(f.list), joined), func(*vm) bool { return true })
	require.Zero(t, f.vms[joined.ID].plan.Part(workspace, f.now).Of)
	for _, e := range former {
		require.Equal(t, contains(f.owners, e), f.vms[e.ID].plan.Part(workspace, f.now).Of > 0, e.ID)
	}
	f.now = f.now.Add(settleAfter)
	require.Equal(t, parts, f.vms[joined.ID].plan.Part(workspace, f.now).Of)
}

// Guards against: workspaces refused while VMs are stopped in turn, each of which has told that it leaves.
func TestTheSuccessorOfAnOwnerThatLeftNeedNotWait(t *testing.T) {
	f := newFleet(30, limit(60))
	f.leave(f.owners[0])
	for _, e := range f.owners {
		require.Equal(t, parts, f.vms[e.ID].plan.Part(workspace, f.now).Of, e.ID)
	}
}

// joining is a VM that would become an owner.
func (f *fleet) joining() catalog.VM {
	for n := 0; ; n++ {
		e := catalog.VM{ID: fmt.Sprint("joined", n), Zone: fmt.Sprint("z", n%3)}
		if contains(choose(workspace, append(slices.Clone(f.list), e)), e) {
			return e
		}
	}
}

func contains(vms []catalog.VM, vm catalog.VM) bool {
	return slices.ContainsFunc(vms, func(other catalog.VM) bool { return other.ID == vm.ID })
}

// Guards against: any schedule of restarts, cuts, freezes, joins, lowered limits and floods that lets more through than the limit.
func TestLimitHoldsInAnySchedule(t *testing.T) {
	for _, n := range []int{3, 76, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(n, limit(rapid.SampledFrom([]float64{1, 5, 23, 125}).Draw(t, "rate")))
				for range rapid.IntRange(5, 25).Draw(t, "steps") {
					f.strike(t)
					f.flood(t)
				}
				f.check(t)
			})
		})
	}
}

// strike draws one trouble.
func (f *fleet) strike(t *rapid.T) {
	some := f.some(t)
	switch rapid.IntRange(0, 9).Draw(t, "trouble") {
	case 0:
		for _, v := range some {
			f.start(v)
		}
	case 1:
		for _, v := range some {
			v.down = true
		}
	case 2:
		for _, v := range some {
			v.frozen = f.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "frozen ms")) * time.Millisecond)
		}
	case 3:
		group := rapid.IntRange(0, 2).Draw(t, "group")
		for _, v := range some {
			v.group = group
		}
	case 4:
		f.w = limit(rapid.SampledFrom([]float64{1, 5, 23, 125}).Draw(t, "next rate"))
		f.limits = append(f.limits, limited{f.now, f.w})
	case 5:
		for _, v := range f.vms {
			v.group = 0
			if v.down {
				f.start(v)
			}
		}
	case 6:
		e := catalog.VM{ID: fmt.Sprintf("vm%d", 10_000+len(f.vms)), Zone: "z1"}
		f.vms[e.ID] = &vm{VM: e}
		f.start(f.vms[e.ID])
		f.relist(append(slices.Clone(f.list), e), func(*vm) bool { return true })
	case 7:
		if e := f.list[rapid.IntRange(0, len(f.list)-1).Draw(t, "leaving")]; len(f.list) > 3 {
			f.leave(e)
		}
	case 8:
		if e := f.owners[0]; len(f.list) > 3 {
			f.leave(e)
		}
	default:
	}
}

// leave takes a VM off the list for good.
func (f *fleet) leave(leaving catalog.VM) {
	f.vms[leaving.ID].down = true
	var list []catalog.VM
	for _, e := range f.list {
		if e.ID != leaving.ID {
			list = append(list, e)
		}
	}
	f.relist(list, func(*vm) bool { return true })
}

// some draws VMs: often those that own the workspace.
func (f *fleet) some(t *rapid.T) []*vm {
	var out []*vm
	if rapid.Bool().Draw(t, "owners") {
		for _, e := range f.owners {
			out = append(out, f.vms[e.ID])
		}
		return out
	}
	part := rapid.IntRange(1, 100).Draw(t, "percent")
	for i, e := range f.list {
		if (i*37)%100 < part {
			out = append(out, f.vms[e.ID])
		}
	}
	return out
}

// flood asks for a few times the limit, at one VM or at all.
func (f *fleet) flood(t *rapid.T) {
	times := rapid.SampledFrom([]float64{0.5, 1, 7.5}).Draw(t, "times the limit")
	one := rapid.Bool().Draw(t, "at one VM")
	end := f.now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
	every := time.Duration(float64(time.Second) / (f.w.Rate * times))
	for at := 0; f.now < end; at++ {
		f.now = f.now.Add(every)
		if !one {
			at += 30
		}
		f.operate(f.vms[f.list[at%len(f.list)].ID])
	}
}

// Guards against: an owner that goes on from a bucket which filled while another VM was the owner.
func TestAnOwnerThatReturnsHasNoOldBucket(t *testing.T) {
	l, now, w := NewLedger(0), clock.Time(time.Hour), limit(3)
	w.Burst = 300
	tokens, _ := l.Grant(now, &w, Part{Of: parts, Since: now}, 10)
	require.Zero(t, tokens)
	now = now.Add(20 * time.Second)
	tokens, _ = l.Grant(now, &w, Part{Of: parts, Since: now.Add(-2 * time.Second)}, 10)
	require.Equal(t, 2, tokens)
}

// Guards against: tokens that a VM saves up, or had before it was suspended, and spends beside those of a later window.
func TestTokensLapse(t *testing.T) {
	p, now := NewPurse(), clock.Time(time.Hour)
	p.Put(workspace, now, 2)
	require.True(t, p.Spend(now.Add(tokenLife-1), workspace))
	require.False(t, p.Spend(now.Add(tokenLife), workspace))
	require.Less(t, tokenLife.Seconds(), window.Seconds()*excess, "what is granted in its life is tolerated")
}

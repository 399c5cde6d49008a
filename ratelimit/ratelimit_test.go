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

// The excess over the limit that deployments tolerate: operations within a window may exceed it
// by this fraction, and by margin operations beyond that.
const (
	window = 5 * time.Second
	excess = 0.1
	margin = 20
)

const workspace = "w"

// fleet simulates VMs that request tokens from owners, as package edge does, without a
// network.
type fleet struct {
	now  clock.Time
	vms  map[string]*vm
	list []catalog.VM
	// owners is computed from the list once, as every VM of a thousand computes the same.
	owners []catalog.VM
	w      catalog.Workspace
	// allowedAt holds the times at which operations were let through.
	allowedAt []clock.Time
	// requests counts the requests to owners.
	requests int
	// limits holds the limits with the times from which they were in force.
	limits []limitChange
}

type limitChange struct {
	at clock.Time
	w  catalog.Workspace
}

type vm struct {
	catalog.VM
	assignment *Assignment
	buckets    *Buckets
	cache      *TokenCache
	down       bool
	group      int // VMs of other groups are unreachable
	frozen     clock.Time
}

func newFleet(n int, w catalog.Workspace) *fleet {
	f := &fleet{now: clock.Time(time.Hour), vms: make(map[string]*vm), w: w}
	f.limits = []limitChange{{f.now, w}}
	for i := range n {
		f.list = append(f.list, catalog.VM{ID: fmt.Sprintf("vm%04d", i), Zone: fmt.Sprint("z", i%3)})
	}
	f.owners = chooseOwners(workspace, f.list)
	for _, e := range f.list {
		f.vms[e.ID] = &vm{VM: e}
		f.start(f.vms[e.ID])
	}
	return f
}

// start starts or restarts a VM's process.
func (f *fleet) start(v *vm) {
	v.down = false
	v.assignment = NewAssignment(v.ID, nil, f.now).Next(f.list, f.now)
	v.assignment.owners[workspace] = f.owners
	v.buckets, v.cache = NewBuckets(margin), NewTokenCache()
}

// relist changes the fleet's list. The VMs that receives accepts get the new list at once.
func (f *fleet) relist(list []catalog.VM, receives func(v *vm) bool) {
	f.list, f.owners = list, chooseOwners(workspace, list)
	for _, v := range f.vms {
		if !v.down && receives(v) {
			v.assignment = v.assignment.Next(list, f.now)
			v.assignment.owners[workspace] = f.owners
		}
	}
}

func (f *fleet) requestTokens(owner *vm, r Request) Reply {
	share := owner.assignment.Share(workspace, f.now)
	if share.Owners == 0 {
		return Reply{}
	}
	f.requests++
	return owner.buckets.Grant(f.now, &f.w, share, r)
}

// operate sends one operation to a VM, and reports whether the VM lets it through.
func (f *fleet) operate(v *vm) bool { return f.operateAt(v, 0) }

// operateAt sends one operation of a priority.
func (f *fleet) operateAt(v *vm, priority int) bool {
	if v.down || f.now.Before(v.frozen) {
		return false
	}
	v.cache.RecordOperation(f.now, workspace, priority)
	if v.cache.Spend(f.now, workspace, priority) {
		f.allowedAt = append(f.allowedAt, f.now)
		return true
	}
	if v.cache.RetryAfter(f.now, workspace, priority) > 0 {
		return false
	}
	request, refusal := v.cache.Request(f.now, workspace, priority), Reply{RetryAfter: time.Second}
	for _, e := range v.assignment.Nearest(workspace, v.Zone) {
		owner := f.vms[e.ID]
		if owner == nil || owner.down || owner.group != v.group || f.now.Before(owner.frozen) {
			continue
		}
		reply := f.requestTokens(owner, request)
		v.cache.Put(workspace, f.now, request, reply)
		if v.cache.Spend(f.now, workspace, priority) {
			f.allowedAt = append(f.allowedAt, f.now)
			return true
		}
		if reply.RetryAfter < refusal.RetryAfter {
			refusal = reply
		}
	}
	v.cache.BackOff(f.now, &f.w, len(f.list), request, refusal)
	return false
}

// check slides the window over all operations that were let through.
func (f *fleet) check(t require.TestingT) {
	last := 0
	for first, from := range f.allowedAt {
		for last < len(f.allowedAt) && f.allowedAt[last].Sub(from) < window {
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

// Failure guarded against: operations are refused although the workspace stays below its
// limit.
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

// Failure guarded against: while a workspace floods the fleet, less than its limit is let
// through.
func TestAFloodGetsItsLimit(t *testing.T) {
	for _, n := range []int{3, 76, 1000} {
		for _, rate := range []float64{5, 23, 125} {
			f := newFleet(n, limit(rate))
			for at := 0; f.now < clock.Time(time.Hour+20*time.Second); at++ {
				f.now = f.now.Add(time.Duration(float64(time.Second) / rate / 7.5))
				f.operate(f.vms[f.list[(at*31)%n].ID])
			}
			require.Greater(t, float64(len(f.allowedAt)), 0.95*(20*rate+rate), "%d VMs, %v a second", n, rate)
			f.check(t)
		}
	}
}

// Failure guarded against: the fleet grants the burst again after each restart.
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

// Failure guarded against: a workspace loses more than a third of its limit when one owner
// is unavailable.
func TestTwoThirdsOfTheLimitRemainWithoutAnOwner(t *testing.T) {
	f := newFleet(76, limit(20))
	f.vms[f.vms[f.list[0].ID].assignment.Owners(workspace)[0].ID].down = true
	refused := 0
	for at := range 240 {
		f.now = f.now.Add(time.Second / 12)
		if v := f.vms[f.list[(at*31)%76].ID]; !v.down && !f.operate(v) {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 3)
}

// Failure guarded against: a VM joins and becomes an owner, the former owner has not received
// the new list, and both act as the owner of one share.
func TestANewOwnerWaitsForTheFormerOne(t *testing.T) {
	f := newFleet(30, limit(60))
	former := f.owners
	joined := f.joining()
	f.vms[joined.ID] = &vm{VM: joined}
	f.start(f.vms[joined.ID])
	f.relist(append(slices.Clone(f.list), joined), func(*vm) bool { return true })
	require.Zero(t, f.vms[joined.ID].assignment.Share(workspace, f.now).Owners)
	for _, e := range former {
		require.Equal(t, contains(f.owners, e), f.vms[e.ID].assignment.Share(workspace, f.now).Owners > 0, e.ID)
	}
	f.now = f.now.Add(settlePeriod)
	require.Equal(t, ownersPerWorkspace, f.vms[joined.ID].assignment.Share(workspace, f.now).Owners)
}

// Failure guarded against: VMs announce that they leave and are stopped one after another,
// and workspaces are refused meanwhile.
func TestTheSuccessorOfAnOwnerThatLeftNeedNotWait(t *testing.T) {
	f := newFleet(30, limit(60))
	f.leave(f.owners[0])
	for _, e := range f.owners {
		require.Equal(t, ownersPerWorkspace, f.vms[e.ID].assignment.Share(workspace, f.now).Owners, e.ID)
	}
}

// joining returns a VM that would become an owner if it joined.
func (f *fleet) joining() catalog.VM {
	for n := 0; ; n++ {
		e := catalog.VM{ID: fmt.Sprint("joined", n), Zone: fmt.Sprint("z", n%3)}
		if contains(chooseOwners(workspace, append(slices.Clone(f.list), e)), e) {
			return e
		}
	}
}

func contains(vms []catalog.VM, vm catalog.VM) bool {
	return slices.ContainsFunc(vms, func(other catalog.VM) bool { return other.ID == vm.ID })
}

// Failure guarded against: some schedule of restarts, partitions, suspensions, joins, lowered
// limits and floods lets more through than the limit.
func TestLimitHoldsInAnySchedule(t *testing.T) {
	for _, n := range []int{3, 76, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(n, limit(rapid.SampledFrom([]float64{1, 5, 23, 125}).Draw(t, "rate")))
				for range rapid.IntRange(5, 25).Draw(t, "steps") {
					f.injectFault(t)
					f.flood(t)
				}
				f.check(t)
			})
		})
	}
}

// injectFault draws one fault and applies it.
func (f *fleet) injectFault(t *rapid.T) {
	some := f.some(t)
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
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
		f.limits = append(f.limits, limitChange{f.now, f.w})
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

// leave removes a VM from the list permanently.
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

// some draws a set of VMs: in half of the cases the workspace's owners.
func (f *fleet) some(t *rapid.T) []*vm {
	var out []*vm
	if rapid.Bool().Draw(t, "owners") {
		for _, e := range f.owners {
			out = append(out, f.vms[e.ID])
		}
		return out
	}
	percent := rapid.IntRange(1, 100).Draw(t, "percent")
	for i, e := range f.list {
		if (i*37)%100 < percent {
			out = append(out, f.vms[e.ID])
		}
	}
	return out
}

// flood sends operations at a multiple of the limit, to one VM or to all.
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
		f.operateAt(f.vms[f.list[at%len(f.list)].ID], at%3)
	}
}

// Failure guarded against: a VM becomes an owner again and uses a bucket that filled while
// another VM was the owner.
func TestAnOwnerThatReturnsHasNoOldBucket(t *testing.T) {
	buckets, now, w := NewBuckets(0), clock.Time(time.Hour), limit(3)
	w.Burst = 300
	r := Request{Want: 10}
	require.Zero(t, buckets.Grant(now, &w, Share{Owners: ownersPerWorkspace, Since: now}, r).Tokens)
	now = now.Add(20 * time.Second)
	require.Equal(t, 2, buckets.Grant(now, &w, Share{Owners: ownersPerWorkspace, Since: now.Add(-2 * time.Second)}, r).Tokens)
}

// Failure guarded against: a VM saves up tokens, or has some from before it was suspended,
// and spends them in addition to those of a later window.
func TestTokensExpire(t *testing.T) {
	cache, now := NewTokenCache(), clock.Time(time.Hour)
	cache.Put(workspace, now, Request{}, Reply{Tokens: 2})
	require.True(t, cache.Spend(now.Add(tokenLifetime-1), workspace, 0))
	require.False(t, cache.Spend(now.Add(tokenLifetime), workspace, 0))
	require.Less(t, tokenLifetime.Seconds(), window.Seconds()*excess, "what is granted within a token's lifetime is within the tolerance")
}

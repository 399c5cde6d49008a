package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// served is what the operations of each priority got.
type served struct{ asked, allowed [3]int }

func (s *served) part(priority int) float64 {
	return float64(s.allowed[priority]) / float64(s.asked[priority])
}

// mix sends operations of three priorities to any VMs that run, at a multiple of the limit for some
// seconds: one in ten is of the highest priority, six of the next one.
func (f *fleet) mix(times float64, seconds int) *served {
	out, rnd := &served{}, rand.New(rand.NewPCG(1, uint64(f.now)))
	end := f.now.Add(time.Duration(seconds) * time.Second)
	for f.now < end {
		f.now = f.now.Add(time.Duration(float64(time.Second) / (f.w.Rate * times)))
		priority := [...]int{0, 1, 1, 1, 1, 1, 1, 2, 2, 2}[rnd.IntN(10)]
		v := f.vms[f.list[rnd.IntN(len(f.list))].ID]
		if v.down {
			continue
		}
		out.asked[priority]++
		if f.operateAt(v, priority) {
			out.allowed[priority]++
		}
	}
	return out
}

// Failure guarded against: a workspace asks for several times its limit, and its tokens go to
// whoever asks first; or tokens that the owners create are not used, also while one of them is gone
// or a third of the VMs is cut off.
func TestUrgentOperationsGetTheTokensFirst(t *testing.T) {
	faults := map[string]func(f *fleet){
		"none":       func(*fleet) {},
		"owner gone": func(f *fleet) { f.vms[f.owners[0].ID].down = true },
		"third cut": func(f *fleet) {
			for i, e := range f.list {
				f.vms[e.ID].group = i % 3 / 2
			}
		},
	}
	for fault, apply := range faults {
		for _, n := range []int{8, 85, 986} {
			for _, load := range []struct{ times, rate, burst float64 }{{4, 10, 10}, {4, 125, 12.5}, {4, 378, 378}, {1.6, 125, 12.5}, {1.6, 378, 378}} {
				rate := load.rate
				f := newFleet(n, catalog.Workspace{Name: workspace, Limited: true, Rate: rate, Burst: load.burst})
				apply(f)
				f.mix(load.times, 5)
				f.allowedAt, f.requests = nil, 0
				got := f.mix(load.times, 20)
				created := 20 * rate
				if f.vms[f.owners[0].ID].down {
					created *= float64(ownersPerWorkspace-1) / ownersPerWorkspace
				}
				name := fmt.Sprintf("%s, %d VMs, %+v: allowed %.3f %.3f %.3f, of the limit %.3f, %.2f requests an operation", fault, n, load,
					got.part(0), got.part(1), got.part(2), float64(len(f.allowedAt))/created, float64(f.requests)/(20*load.times*rate))
				t.Log(name)
				require.Greater(t, float64(len(f.allowedAt)), 0.98*created, name)
				require.Greater(t, got.part(0), 0.95, name)
				require.Less(t, got.part(2), got.part(1), name)
				require.Less(t, float64(f.requests), ownersPerWorkspace*20*load.times*rate, name)
				f.check(t)
			}
		}
	}
}

// Failure guarded against: operations of a low priority are refused for the reserve although the
// workspace is below its limit: after its owners restarted, or once a flood has ended.
func TestNothingBelowTheLimitIsReservedForOthers(t *testing.T) {
	for _, n := range []int{8, 85, 986} {
		for _, rate := range []float64{10, 125} {
			f := newFleet(n, limit(rate))
			all := f.mix(0.8, 10)
			for _, e := range f.owners {
				f.start(f.vms[e.ID])
			}
			f.mix(0.5, 1)
			after := f.mix(0.8, 10)
			f.mix(4, 5)
			f.mix(0.5, 2)
			again := f.mix(0.8, 10)
			for _, got := range []*served{all, after, again} {
				require.Equal(t, got.asked, got.allowed, "%d VMs, %v a second", n, rate)
			}
		}
	}
}

// Failure guarded against: a burst within the limit is refused in part, because its tokens are kept
// for the urgent operations of a workspace that has not exceeded its limit.
func TestABurstWithinTheLimitLeavesNoReserve(t *testing.T) {
	for _, n := range []int{85, 986} {
		f := newFleet(n, limit(125))
		for at := range 600 {
			f.now = f.now.Add(time.Second / 60)
			require.True(t, f.operateAt(f.vms[f.list[(at*31)%n].ID], 0))
		}
		for at := range 125 {
			require.True(t, f.operateAt(f.vms[f.list[(at*31)%n].ID], 2), "%d of the burst, %d VMs", at, n)
		}
		f.check(t)
	}
}

// Failure guarded against: a token that was granted for an urgent operation serves the next one that
// comes, or expires because no other may have it.
func TestTokensAreEarmarkedForUrgentOperations(t *testing.T) {
	cache, now, r := NewTokenCache(), clock.Time(time.Hour), Request{Priority: 0, Operations: 2}
	cache.Put(workspace, now, r, Reply{Tokens: 3, Interval: time.Millisecond})
	require.False(t, cache.Spend(now.Add(earmarkTime-1), workspace, 1))
	require.True(t, cache.Spend(now.Add(earmarkTime-1), workspace, 0))
	require.True(t, cache.Spend(now.Add(earmarkTime), workspace, 1))
	cache.Put(workspace, now, r, Reply{Tokens: 1})
	require.True(t, cache.Spend(now, workspace, 1), "within the limit, tokens serve whoever comes")
}

// Failure guarded against: a VM whose less urgent operations were refused asks for no tokens for the
// urgent ones; or all callers that it refuses meanwhile return at one time.
func TestBackoffHoldsForItsPriority(t *testing.T) {
	cache, now, w := NewTokenCache(), clock.Time(time.Hour), limit(10)
	cache.BackOff(now, &w, 85, Request{Priority: 1}, Reply{RetryAfter: 200 * time.Millisecond, Interval: 10 * time.Millisecond})
	require.Zero(t, cache.RetryAfter(now, workspace, 0))
	require.Less(t, cache.RetryAfter(now, workspace, 1), cache.RetryAfter(now, workspace, 1))
	require.Positive(t, cache.RetryAfter(now, workspace, 2))
	cache.Put(workspace, now, Request{Priority: 0}, Reply{Tokens: 1, Interval: time.Millisecond})
	require.Positive(t, cache.RetryAfter(now, workspace, 1), "a token for an urgent operation says nothing of the others")
}

// A full target refuses every other operation that was let through, 5 ms later; the others have a
// target with room. Failure guarded against: the refused ones keep their tokens, and the others are
// refused at a limit of which half is used.
func TestOperationsThatATargetRefusesGiveTheirTokensBack(t *testing.T) {
	const refusedAfter = 5 * time.Millisecond
	type refusal struct {
		vm *vm
		at clock.Time
	}
	// Each VM has ten operations or more within the lifetime of a token.
	for _, load := range []struct {
		vms  int
		rate float64
	}{{1, 40}, {1, 125}, {8, 125}, {8, 378}, {30, 378}} {
		f := newFleet(load.vms, limit(load.rate))
		f.mix(4, 5)
		f.allowedAt = nil
		var ran []clock.Time
		var refused []refusal
		for at, end := 0, f.now.Add(20*time.Second); f.now < end; at++ {
			f.now = f.now.Add(time.Duration(float64(time.Second) / (4 * load.rate)))
			for len(refused) > 0 && refused[0].at <= f.now {
				refused[0].vm.cache.Return(workspace)
				refused = refused[1:]
			}
			v := f.vms[f.list[(at*31)%load.vms].ID]
			if !f.operateAt(v, 1) {
				continue
			}
			if len(f.allowedAt)%2 == 0 {
				refused = append(refused, refusal{v, f.now.Add(refusedAfter)})
			} else {
				ran = append(ran, f.now)
			}
		}
		part := float64(len(ran)) / (20 * load.rate)
		t.Logf("%+v: %.2f of the limit ran", load, part)
		require.Greater(t, part, 0.9, "%+v", load)
		f.allowedAt = ran
		f.check(t)
	}
}

// Failure guarded against: urgent operations that begin while a workspace asks for several times its
// limit are refused for as long as none of them meets a token by chance.
func TestUrgentOperationThatIsRefusedReservesAToken(t *testing.T) {
	bs, w := NewBuckets(1), &catalog.Workspace{Name: workspace, Limited: true, Rate: 30, Burst: 30}
	share, now := Share{Owners: 3, Since: 1}, clock.Time(1)
	ask := func(priority int) bool {
		now = now.Add(20 * time.Millisecond)
		return bs.Grant(now, w, share, Request{Want: 1, Operations: 1, Priority: priority}).Tokens > 0
	}
	for range 100 {
		ask(2)
	}
	for ask(0) {
		ask(2)
	}
	for range 4 {
		require.False(t, ask(2), "the next token is the urgent operation's")
	}
	require.True(t, ask(0))
}

package ratelimit

import (
	"fmt"
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

// mix sends operations of three priorities at a multiple of the limit for some seconds: one in ten
// is of the highest priority, six of the next one.
func (f *fleet) mix(times float64, seconds int) *served {
	out := &served{}
	end := f.now.Add(time.Duration(seconds) * time.Second)
	for at := 0; f.now < end; at++ {
		f.now = f.now.Add(time.Duration(float64(time.Second) / (f.w.Rate * times)))
		priority := [...]int{1, 2, 1, 0, 1, 2, 1, 1, 2, 1}[at%10]
		out.asked[priority]++
		if f.operateAt(f.vms[f.list[(at*31)%len(f.list)].ID], priority) {
			out.allowed[priority]++
		}
	}
	return out
}

// Failure guarded against: a workspace asks for several times its limit, and its tokens go to
// whoever asks first; or tokens lie idle or expire in the reserve for urgent operations.
func TestUrgentOperationsGetTheTokensFirst(t *testing.T) {
	for _, n := range []int{8, 85, 986} {
		for rate, burst := range map[float64]float64{10: 10, 125: 12.5, 378: 378} {
			t.Run(fmt.Sprint(n, " VMs, ", rate, " a second"), func(t *testing.T) {
				f := newFleet(n, catalog.Workspace{Name: workspace, Limited: true, Rate: rate, Burst: burst})
				f.mix(4, 5)
				f.allowedAt, f.requests = nil, 0
				got := f.mix(4, 20)
				t.Logf("allowed %.3f %.3f %.3f, of the limit %.3f, %.2f requests an operation", got.part(0), got.part(1), got.part(2),
					float64(len(f.allowedAt))/(20*rate), float64(f.requests)/(20*4*rate))
				require.Greater(t, got.part(0), 0.95)
				require.Less(t, got.part(2), got.part(1))
				require.Greater(t, float64(len(f.allowedAt)), 0.98*20*rate)
				f.check(t)
			})
		}
	}
}

// Failure guarded against: while owners are gone or VMs are cut off, tokens of the others' shares are
// not used, or urgent operations don't get them.
func TestUrgentOperationsGetTheTokensOfTheOwnersThatAreThere(t *testing.T) {
	for _, n := range []int{8, 85, 986} {
		for name, fault := range map[string]func(f *fleet){
			"owner gone": func(f *fleet) { f.vms[f.owners[0].ID].down = true },
			"third cut": func(f *fleet) {
				for i, e := range f.list {
					if i%3 == 0 {
						f.vms[e.ID].group = 1
					}
				}
			},
		} {
			t.Run(fmt.Sprint(name, ", ", n, " VMs"), func(t *testing.T) {
				f := newFleet(n, limit(125))
				fault(f)
				f.mix(4, 5)
				f.allowedAt = nil
				got := f.mix(4, 20)
				there := 0.0
				for _, e := range f.owners {
					if v := f.vms[e.ID]; !v.down {
						there++
					}
				}
				require.Greater(t, float64(len(f.allowedAt)), 0.98*20*125*there/ownersPerWorkspace)
				require.Greater(t, got.part(0), 0.95*float64(len(f.reachable()))/float64(n))
				f.check(t)
			})
		}
	}
}

// reachable returns the VMs that run and reach an owner.
func (f *fleet) reachable() (out []*vm) {
	for _, v := range f.vms {
		for _, e := range f.owners {
			if o := f.vms[e.ID]; !v.down && !o.down && o.group == v.group {
				out = append(out, v)
				break
			}
		}
	}
	return out
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

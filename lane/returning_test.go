package lane

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/returning"
)

// withReturning plays bursts, as TestBurstOfUnevenWork does, of callers of whom a share is recognized
// when they return, by as many hashes a class; 0 if each has its own. Statement timeouts are shorter than
// what callers have. It returns what they got by class, and all together.
func withReturning(t *testing.T, load, recognizable float64, returns int, distinct uint64) (got [3]result, all result) {
	kinds := []kind{commits, syncs, galleries}
	kinds[0].timeout, kinds[1].timeout, kinds[2].timeout = time.Second, time.Second, 3*time.Second
	bubble.Test(t, func(*testing.T) {
		for seed := range uint64(16) {
			c := newCrowd(seed, slots)
			c.recognizable, c.hashes, c.returns, c.distinct = recognizable, rand.New(rand.NewPCG(seed, 2)), returns, distinct
			c.lane.returning, c.lane.classTerms = &returning.Book{}, make(map[uint32]classTerms)
			for _, k := range kinds {
				c.lane.classTerms[k.class+1] = classTerms{k.objective, k.timeout}
			}
			c.play(0.75, 2*time.Second, "", kinds...)
			c.wait.Wait()
			clear(c.got)
			c.play(load, 3*time.Second, "", kinds...)
			c.play(0.6, 2*time.Second, "", kinds...)
			c.wait.Wait()
			for class, r := range c.got {
				got[class].add(*r)
				all.add(*r)
			}
		}
	})
	t.Logf("load %.2f, recognized %.1f, returns %d, hashes %d: %+v of %+v", load, recognizable, returns, distinct, all, got)
	return got, all
}

// noise is what two plays of the same load differ by.
const noise = 0.99

// Demand is two and a half times what a target can do for three seconds, and refused callers return
// twice. Failure guarded against: they are served as new ones, late by their first try, in slots of
// callers who could have been in time. With the part these are as many as if nobody returned.
func TestReturningCallersTakeNobodysSlot(t *testing.T) {
	before, newOnes := withReturning(t, 2.5, 0, 2, 0)
	_, half := withReturning(t, 2.5, 0.5, 2, 0)
	after, all := withReturning(t, 2.5, 1, 2, 0)
	_, without := withReturning(t, 2.5, 0, 0, 0)
	require.Greater(t, half.inTime, newOnes.inTime)
	require.Greater(t, all.inTime, half.inTime)
	require.Greater(t, float64(all.inTime), noise*float64(without.inTime))
	for class := range after {
		require.GreaterOrEqual(t, float64(after[class].inTime), noise*float64(before[class].inTime), "class %d", class)
	}
}

// Failure guarded against: where nearly all are in time, or where nobody is refused, callers are
// served worse because some are recognized: fewer are in time, or more lose a late answer than get one
// in time, beyond the noise.
func TestRecognizedCallersAtLittleLoad(t *testing.T) {
	for _, load := range []float64{0.9, 1.15, 1.35, 1.8} {
		_, before := withReturning(t, load, 0, 2, 0)
		_, after := withReturning(t, load, 1, 2, 0)
		require.GreaterOrEqual(t, after.inTime, before.inTime, "load %v", load)
		lost, gained := before.served()-after.served(), after.inTime-before.inTime
		require.LessOrEqual(t, float64(lost), max(float64(gained), (1-noise)*float64(before.served())), "load %v", load)
		if before.refusals == 0 {
			require.Equal(t, before, after)
		}
	}
}

// Failure guarded against: many callers ask the same under one name, and new ones are taken for those who
// were refused before them.
func TestFewHashesAreNoWorseThanNone(t *testing.T) {
	for _, load := range []float64{1.35, 2.5} {
		_, none := withReturning(t, load, 0, 2, 0)
		for _, distinct := range []uint64{2000, 200, 20, 2} {
			_, few := withReturning(t, load, 1, 2, distinct)
			require.Greater(t, float64(few.inTime), noise*float64(none.inTime), "%d hashes at load %v", distinct, load)
		}
	}
}

// A caller returns just before its statement timeout has passed since its first try, to a queue that is
// not pressed. Failure guarded against: it is refused at once, although a new request is served.
func TestReturningCallerMayWaitAsOthers(t *testing.T) {
	const work, objective, timeout = 30 * time.Millisecond, 150 * time.Millisecond, time.Second
	bubble.Test(t, func(t *testing.T) {
		c := newCrowd(1, 1)
		l := c.lane
		l.returning, l.classTerms = &returning.Book{}, map[uint32]classTerms{1: {objective, timeout}}
		ask := func(caller uint64) (took time.Duration, err error) {
			start := l.clk.Now()
			conn, err := l.Acquire(context.Background(), AcquireOptions{Due: start.Add(objective), Class: 1, Caller: caller}, timeout)
			if err == nil {
				time.Sleep(work)
				conn.Release()
			}
			return l.clk.Now().Sub(start), err
		}
		for range 40 {
			_, err := ask(0)
			require.NoError(t, err)
		}
		for _, caller := range []uint64{0, 7} {
			var wait sync.WaitGroup
			for range 2 {
				wait.Go(func() { _, _ = ask(0) })
			}
			synctest.Wait()
			l.returning.Refuse(returning.Refused{Caller: 7, First: l.clk.Now().Add(-970 * time.Millisecond)})
			took, err := ask(caller)
			require.NoError(t, err)
			require.Less(t, took, 100*time.Millisecond)
			wait.Wait()
		}
	})
}

// A read waits for a part of its time only where it has another target. Failure guarded against: a
// caller who returned counts as new there, because the first target has used its entry.
func TestReturningReadIsKnownAtItsNextTarget(t *testing.T) {
	const objective = 500 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		first, next := newCrowd(1, 1).lane, newCrowd(1, 1).lane
		book := &returning.Book{}
		for _, l := range []*Lane{first, next} {
			l.returning, l.classTerms = book, map[uint32]classTerms{1: {objective, time.Second}}
		}
		held := acquire(t, first)
		arrived := first.clk.Now()
		book.Told(returning.Refused{Caller: 7, First: arrived.Add(-300 * time.Millisecond)})
		o := AcquireOptions{Due: arrived.Add(objective), Class: 1, Caller: 7}
		_, err := first.Acquire(context.Background(), o, 60*time.Millisecond)
		require.Error(t, err)
		got, returns := next.recognize(next.clk.Now(), o)
		require.True(t, returns)
		require.Equal(t, arrived.Add(objective-300*time.Millisecond), got.Due)
		held.Release()
	})
}

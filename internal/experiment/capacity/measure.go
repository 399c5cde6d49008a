package capacity

import (
	"runtime"
	"time"
)

const (
	// enough is the least time of a timed loop, and tries how many are made.
	enough = 40 * time.Millisecond
	tries  = 3
)

// nanoseconds returns the time of one call of f, the best of several loops.
func nanoseconds(f func()) float64 {
	best := 0.0
	for range tries {
		if t := loop(f); best == 0 || t < best {
			best = t
		}
	}
	return best
}

// loop doubles the number of calls until they take long enough.
func loop(f func()) float64 {
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= enough {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// heapBytes returns how much the live heap grows by what build returns.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sweep measures at each size.
func sweep(sizes []int, at func(n int) float64) []Point {
	points := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		points = append(points, Point{Size: float64(n), Value: at(n)})
	}
	return points
}

package capacity

import (
	"runtime"
	"time"
)

const (
	// minLoopTime is the minimum duration of a timed loop, and loops the number of timed loops.
	minLoopTime = 40 * time.Millisecond
	loops       = 3
)

// nanoseconds returns the time of one call of f in nanoseconds, the best of several loops.
func nanoseconds(f func()) float64 {
	best := 0.0
	for range loops {
		if t := loop(f); best == 0 || t < best {
			best = t
		}
	}
	return best
}

// loop doubles the number of calls of f until they take minLoopTime, and returns the mean time of a
// call in nanoseconds.
func loop(f func()) float64 {
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= minLoopTime {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// heapBytes returns the size on the live heap of the value that build returns.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sweep runs a measure at each size.
func sweep(sizes []int, at func(n int) float64) []Point {
	points := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		points = append(points, Point{Size: float64(n), Value: at(n)})
	}
	return points
}

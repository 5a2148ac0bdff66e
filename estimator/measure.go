package estimator

import (
	"runtime"
	"time"
)

// Unit is the unit in which a slope is measured.
type Unit string

// The units of slopes.
const (
	Memory    Unit = "B"
	Time      Unit = "ns"
	WireBytes Unit = "B on the wire"
)

// Slope is a measured cost per item (Per), with From items (Low) and with To
// items (High).
type Slope struct {
	Name string  `json:"name"`
	Per  string  `json:"per"`
	Unit Unit    `json:"unit"`
	From int     `json:"from"`
	To   int     `json:"to"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// liveHeap returns the bytes of the live heap after garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// memoryPerItem returns the bytes that stay allocated after build, divided by
// the n items that it makes.
func memoryPerItem(n int, build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return (after - before) / float64(n)
}

// minMeasuredTime is the shortest time for which timePerCall repeats a call.
const minMeasuredTime = 200 * time.Millisecond

// timePerCall returns the mean time of one call of step in nanoseconds.
func timePerCall(step func(i int)) float64 {
	start := time.Now()
	calls := 0
	for time.Since(start) < minMeasuredTime {
		for range 64 {
			step(calls)
			calls++
		}
	}
	return float64(time.Since(start)) / float64(calls)
}

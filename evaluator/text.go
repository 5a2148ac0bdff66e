package evaluator

import (
	"fmt"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Seed is the default seed of random inputs.
const Seed = 20261204

// table aligns rows whose cells are separated by tabs.
type table struct {
	text strings.Builder
	w    *tabwriter.Writer
}

func newTable(header string) *table {
	t := &table{}
	t.w = tabwriter.NewWriter(&t.text, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t.w, header)
	return t
}

func (t *table) addRow(format string, args ...any) { fmt.Fprintf(t.w, format+"\n", args...) }

func (t *table) String() string {
	_ = t.w.Flush() // a strings.Builder returns no error
	return t.text.String()
}

// Times are percentiles of the time of one step, in microseconds.
type Times struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{
		P50:  float64(h.ValueAtQuantile(50)) / 1e3,
		P99:  float64(h.ValueAtQuantile(99)) / 1e3,
		P999: float64(h.ValueAtQuantile(99.9)) / 1e3,
		Max:  float64(h.Max()) / 1e3,
	}
}

// Cost is the mean cost of one step: nanoseconds, allocated bytes and allocations.
type Cost struct {
	Time        float64 `json:"ns"`
	Bytes       uint64  `json:"bytes"`
	Allocations uint64  `json:"allocations"`
}

// meter measures time and allocations since its creation.
type meter struct {
	start  time.Time
	before runtime.MemStats
}

func newMeter() *meter {
	m := &meter{}
	runtime.ReadMemStats(&m.before)
	m.start = time.Now()
	return m
}

// stop returns the time since the meter's creation and the mean cost of each of n
// steps.
func (m *meter) stop(n int) (time.Duration, Cost) {
	elapsed := time.Since(m.start)
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	return elapsed, Cost{
		Time:        float64(elapsed) / float64(n),
		Bytes:       (after.TotalAlloc - m.before.TotalAlloc) / uint64(n),
		Allocations: (after.Mallocs - m.before.Mallocs) / uint64(n),
	}
}

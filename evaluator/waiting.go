package evaluator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WaitingSettings are the settings of MeasureWaiting and MeasureShares;
// MeasureShares doesn't use Loads.
type WaitingSettings struct {
	Seed  uint64        `json:"seed"`
	Loads []float64     `json:"loads"` // demand as a share of the slots' capacity
	Span  time.Duration `json:"span"`  // measured after a warm-up of 2 s
}

// DefaultWaiting returns settings with the loads for which the design states its
// waiting time goal.
func DefaultWaiting() WaitingSettings {
	return WaitingSettings{Seed: Seed, Loads: []float64{0.5, 0.8, 0.95, 1.2}, Span: 8 * time.Second}
}

// SharingMethod is a way of sharing the workers' slots among entry hosts.
type SharingMethod string

// The ways of sharing slots that are compared: one queue without and with the
// round trip to the worker, slots lent by the leader, a fixed number of slots per
// entry host, an owning entry host per worker, and one central queue.
const (
	IdealQueue            SharingMethod = "ideal"
	IdealQueueWithTransit SharingMethod = "ideal+transit"
	LentSlots             SharingMethod = "lent"
	FixedSlots            SharingMethod = "fixed"
	OwnedWorkers          SharingMethod = "owner"
	CentralQueue          SharingMethod = "central"
)

// Waiting holds the measured waiting times.
type Waiting struct {
	Settings WaitingSettings `json:"settings"`
	Points   []WaitPoint     `json:"points"`
}

// WaitPoint is the result of one way at one load. Times are in milliseconds from
// a request's arrival at an entry host to its assignment. Requests counts those
// assigned before the run's end; those still waiting are in no percentile.
type WaitPoint struct {
	SharingMethod SharingMethod `json:"way"`
	Load          float64       `json:"load"`
	Skewed        bool          `json:"skewed"`
	P50           float64       `json:"p50"`
	P99           float64       `json:"p99"`
	Requests      int64         `json:"requests"`
	Messages      float64       `json:"messages"` // per second
}

var ways = []struct {
	name  SharingMethod
	build func(*model)
}{
	{IdealQueue, func(m *model) { buildIdeal(m, 0) }},
	{IdealQueueWithTransit, func(m *model) { buildIdeal(m, 2*oneWay) }},
	{LentSlots, buildLent},
	{FixedSlots, buildFixed},
	{OwnedWorkers, buildOwners},
	{CentralQueue, buildCentral},
}

// MeasureWaiting measures the time from a request's arrival at an entry host to
// its assignment, for each way of sharing slots. It returns an error for settings
// out of range and for a refused request.
func MeasureWaiting(s WaitingSettings) (Waiting, error) {
	out := Waiting{Settings: s}
	if len(s.Loads) == 0 || slices.Min(s.Loads) <= 0 || s.Span <= 0 {
		return out, errors.New("waiting settings: loads and span must be positive")
	}
	for _, load := range s.Loads {
		for _, skewed := range []bool{false, true} {
			for _, way := range ways {
				m := &model{EventLoop: NewEventLoop(s.Seed), waits: hdrhistogram.New(1, int64(time.Minute), 3)}
				way.build(m)
				m.run(s, load, skewed)
				if m.refusalKind != "" {
					return out, fmt.Errorf("way %s at load %.2f refused a request with %s", way.name, load, m.refusalKind)
				}
				out.Points = append(out.Points, WaitPoint{
					SharingMethod: way.name, Load: load, Skewed: skewed,
					P50:      float64(m.waits.ValueAtPercentile(50)) / 1e6,
					P99:      float64(m.waits.ValueAtPercentile(99)) / 1e6,
					Requests: m.waits.TotalCount(),
					Messages: float64(m.messages) / (warmUp + s.Span).Seconds(),
				})
			}
		}
	}
	return out, nil
}

// Text returns the result as a table.
func (w Waiting) Text() string {
	t := newTable("LOAD\tARRIVALS\tWAY\tP50 MS\tP99 MS\tREQUESTS\tMESSAGES/S")
	for _, p := range w.Points {
		arrivals := "even"
		if p.Skewed {
			arrivals = "skewed"
		}
		t.addRow("%.0f%%\t%s\t%s\t%.3f\t%.3f\t%d\t%.0f", p.Load*100, arrivals, p.SharingMethod, p.P50, p.P99, p.Requests, p.Messages)
	}
	return fmt.Sprintf("seed %d, %v measured after %v\n\n", w.Settings.Seed, w.Settings.Span, warmUp) + t.String()
}

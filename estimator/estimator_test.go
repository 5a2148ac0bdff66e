package estimator_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/allocator"
	"goldcreststack.example/goldcreststack/estimator"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a sum that is 0 because it looks up a slope name that Slopes
// doesn't measure.
func TestEverySumIsMeasured(t *testing.T) {
	size := estimator.Today()
	for _, sum := range estimator.Sums(size, estimator.Slopes(size)) {
		assert.Assert(t, sum.Memory+sum.Cores+sum.Traffic > 0, "%s: %s", sum.Role, sum.Activity)
		assert.Assert(t, sum.Mechanism != "")
	}
}

// Guards against quadratic cost at a new leader: if a worker's first heartbeat
// does work for every worker known so far, taking in 18,000 workers takes 33 s
// of processor time.
func TestLearningWorkersIsLinear(t *testing.T) {
	firstHeartbeatAllocs := func(known int) float64 {
		a := allocator.New(allocator.Options{})
		a.Lead(0, 1, nil)
		next := 0
		sendFirstHeartbeat := func() {
			next++
			a.Heartbeat(0, &modeler.Heartbeat{
				Worker: modeler.WorkerID(fmt.Sprint(next)), Generation: 1, Clock: 1, Slots: 8, Connections: 64,
				Services: []modeler.ServiceName{"service"},
			})
		}
		for range known {
			sendFirstHeartbeat()
		}
		return testing.AllocsPerRun(100, sendFirstHeartbeat)
	}
	small, large := firstHeartbeatAllocs(100), firstHeartbeatAllocs(4000)
	assert.Assert(t, large <= 2*small, "a first heartbeat makes %.0f allocations at 100 workers and %.0f at 4,000", small, large)
}

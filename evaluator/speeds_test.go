package evaluator_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/evaluator"
	"goldcreststack.example/goldcreststack/modeler"
)

// unevenPool returns a busy pool of 24 workers with short urgent work and long reports.
func unevenPool(speeds ...float64) evaluator.PoolSettings {
	return evaluator.PoolSettings{
		Length: modeler.Duration(40 * time.Second), Drain: modeler.Duration(30 * time.Second),
		Network: modeler.Duration(time.Millisecond), Commit: modeler.Duration(10 * time.Millisecond), Askers: 12,
		Workers: evaluator.PoolWorkers{Count: 24, Processors: 16_000, Memory: 64 << 30, Speeds: speeds},
		Queues: []evaluator.PoolQueue{{
			Name: "urgent", Rate: 4.6, Slowdown: 1.5, Latency: modeler.Duration(250 * time.Millisecond), Attempts: 3, Worth: 1, Late: 0.3,
			Width: evaluator.PoolSpread{Mean: 10, Spread: 0.4, Max: 30}, Work: evaluator.PoolSpread{Mean: 0.68, Spread: 0.5, Max: 4},
			Estimates: 0.5, Processors: 2_200, Memory: 4 << 30, Errors: 0.01,
		}, {
			Name: "reports", Priority: 2, Rate: 0.75, Slowdown: 2.2, Latency: modeler.Duration(1200 * time.Millisecond), Attempts: 3, Worth: 3, Late: 0.9,
			Width: evaluator.PoolSpread{Mean: 21, Spread: 0.4, Max: 60}, Work: evaluator.PoolSpread{Mean: 3.2, Spread: 0.5, Max: 12},
			Estimates: 0.2, Processors: 4_500, Memory: 12 << 30, Checkpoints: 0.8, Gang: 0.08, Errors: 0.01,
		}},
	}
}

// Guards against fast workers that go to work which gains little there, and against
// placements that change for noise where all workers are alike.
func TestCallersGainFromSpeeds(t *testing.T) {
	policies := []evaluator.PoolPolicy{{Name: "all"}, {Name: "without", Disabled: map[dispatcher.Decision]bool{dispatcher.Speed: true}}}
	gain := func(speeds ...float64) float64 {
		p, err := evaluator.MeasurePool("speeds", unevenPool(speeds...), policies, 16)
		assert.NilError(t, err)
		t.Logf("speeds %v: %.4f with the decision, %.4f without", speeds, p.Runs[0].Served, p.Runs[1].Served)
		return p.Runs[0].Served - p.Runs[1].Served
	}
	uneven, even := gain(0.7, 0.7, 1.7), gain(1)
	assert.Check(t, uneven > 0.005, "callers get %.4f more with uneven speeds", uneven)
	assert.Check(t, math.Abs(even) < 0.004, "callers get %.4f more with even speeds", even)
}

package evaluator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against an urgent task that isn't placed after many cancellations
// (MeasurePlacement returns an error then), against urgent jobs that preempt no
// task in a full cell, and against lost tasks that aren't placed again in a cell
// with room.
func TestPlacement(t *testing.T) {
	got, err := evaluator.MeasurePlacement(evaluator.PlacementSettings{
		Seed: evaluator.Seed, Workers: []int{48, 500}, Steps: 500, Rounds: 1,
	})
	assert.NilError(t, err)
	for i, workers := range got.Settings.Workers {
		assert.Equal(t, got.Steady[i].Running, workers*58000/18000)
		assert.Assert(t, got.Steady[i].PerSecond > 0 && got.Full[i].PerSecond > 0)
		assert.Assert(t, got.Full[i].Waiting >= 77000*workers/18000)
		assert.Assert(t, got.Full[i].Packing > 0.9, "%v", got.Full[i].Packing)
	}
	assert.Equal(t, got.Cancel.Jobs, 2*(500*10000/18000))
	assert.Assert(t, got.Preempt.Checkpoints > 0 && got.Preempt.Started > 0, "%v", got.Preempt)
	assert.Equal(t, len(got.Losses), 2)
	for _, l := range got.Losses {
		assert.Assert(t, l.Placed > 0, "%v", l)
		assert.Equal(t, l.Left, 0)
	}
	_, err = evaluator.MeasurePlacement(evaluator.PlacementSettings{Workers: []int{47}, Steps: 1, Rounds: 1})
	assert.ErrorContains(t, err, "48 workers")
}

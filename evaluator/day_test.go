package evaluator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/evaluator"
)

// Guards against a placer whose urgent jobs wait longer than under skipping
// first fit, or its batch jobs longer than under strict first fit, and against
// tasks that never start.
func TestDay(t *testing.T) {
	if testing.Short() {
		t.Skip("runs five days")
	}
	day, err := evaluator.MeasureDay(evaluator.DefaultDay())
	assert.NilError(t, err)
	t.Log(day.Text())
	runs := map[string]evaluator.DayRun{}
	for _, r := range day.Runs {
		assert.Equal(t, r.LeftTasks, 0, "%s: work is left waiting", r.Chooser)
		assert.Assert(t, r.EndedTasks > 0 && r.Batch.Count > 0 && r.Urgent.Count > 0 && r.Gangs.Count > 0, r.Chooser)
		runs[r.Chooser] = r
	}
	assert.Equal(t, len(runs), 5)
	for _, name := range []string{evaluator.SpreadChooser, evaluator.PackChooser} {
		assert.Assert(t, runs[name].Urgent.Mean < runs[evaluator.SkippingFirstFit].Urgent.Mean, name)
		assert.Assert(t, runs[name].Batch.Mean < runs[evaluator.StrictFirstFit].Batch.Mean, name)
	}
}

// Guards against a pack policy that uses the processors no better than spread
// when jobs differ in their ratio of processors to memory, so that a worker full
// in one resource has the other left over.
func TestDayShapes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs five days")
	}
	day, err := evaluator.MeasureDay(evaluator.DaySettings{Seed: 1, Load: 1, Seconds: 8 * 3600, Shapes: true})
	assert.NilError(t, err)
	t.Log(day.Text())
	spread, pack := day.Runs[0], day.Runs[1]
	assert.Assert(t, pack.PackingWhileWaiting.Processors > spread.PackingWhileWaiting.Processors+0.01, "%v and %v", pack.PackingWhileWaiting, spread.PackingWhileWaiting)
	assert.Assert(t, pack.WaitingSeconds < spread.WaitingSeconds)
}

// Guards against different results of two runs with the same seed, and against
// equal results of two seeds.
func TestDaySeed(t *testing.T) {
	run := func(seed uint64) []evaluator.DayRun {
		day, err := evaluator.MeasureDay(evaluator.DaySettings{Seed: seed, Load: 0.85, Seconds: 3600})
		assert.NilError(t, err)
		return day.Runs
	}
	first := run(1)
	assert.DeepEqual(t, first, run(1))
	assert.Assert(t, first[0] != run(2)[0])
	_, err := evaluator.MeasureDay(evaluator.DaySettings{Load: 2, Seconds: 1})
	assert.ErrorContains(t, err, "load")
}

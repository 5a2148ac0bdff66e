package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// runFullCell fills a cell with long tasks of low priority and then submits
// short urgent flows. It returns the longest time that an urgent flow waited
// for its first start, and when the last long flow was done.
func runFullCell(t *testing.T, permits, saves bool) (longest, last time.Duration) {
	r := newRig(t, 3)
	r.permits = permits
	r.allowed = func(unit modeler.StepKey, id modeler.WorkerID) bool {
		return len(unit.Flow+modeler.FlowID(id))%2 == 0 || id[2]%3 != 0
	}
	r.addWorkers(24, 16)
	r.run(2 * time.Second)
	began := r.now
	for i := range 24 {
		f := flow(modeler.FlowID(fmt.Sprintf("long%02d", i)), step(3, 5, 6*time.Second))
		f.Steps[0].Checkpoints = saves
		f.Policy.Priority = 2
		r.submit(f)
	}
	r.run(2 * time.Second)
	arrived := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range 6 {
		id := modeler.FlowID(fmt.Sprintf("urgent%02d", i))
		arrived[id] = r.now
		r.submit(flow(id, step(4, 4, 500*time.Millisecond)))
		r.run(300 * time.Millisecond)
	}
	r.run(40 * time.Second)
	for id, at := range arrived {
		assert.Equal(t, r.flowState(id), modeler.FlowCompleted)
		longest = max(longest, r.flowStart[id].Sub(at))
	}
	for i := range 24 {
		id := modeler.FlowID(fmt.Sprintf("long%02d", i))
		assert.Equal(t, r.flowState(id), modeler.FlowCompleted)
		last = max(last, r.finishedAt[id].Sub(began))
	}
	return longest, last
}

// Guards against short urgent tasks that wait for long tasks to end. They must
// start within a second, which covers a stop and a commit. The long tasks lose
// at most the work since a checkpoint each time, so they must be done within
// their objective of 2.2 times their work plus a second.
func TestUrgentWorkPreemptsLongTasks(t *testing.T) {
	for _, permits := range []bool{false, true} {
		longest, last := runFullCell(t, permits, true)
		assert.Check(t, longest < time.Second, "permits %v: urgent work waited %v", permits, longest)
		assert.Check(t, last < 2*6*time.Second+2200*time.Millisecond, "permits %v: long work took %v", permits, last)
	}
}

// Guards against lost work: tasks without checkpoints must not be preempted.
func TestWorkThatCannotBeResumedGoesOn(t *testing.T) {
	longest, _ := runFullCell(t, false, false)
	assert.Check(t, longest > time.Second, "urgent work waited only %v, so tasks without checkpoints were preempted", longest)
}

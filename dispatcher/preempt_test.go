package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// fullCell plays a cell that is full of long tasks with less urgency, to which
// short urgent flows come. It returns how long the urgent flows waited for their
// first start, and when the last long one was done.
func fullCell(t *testing.T, permits, saves bool) (longest, last time.Duration) {
	r := newRig(t, 3)
	r.permits = permits
	r.allowed = func(unit modeler.StepKey, id modeler.WorkerID) bool {
		return len(unit.Flow+modeler.FlowID(id))%2 == 0 || id[2]%3 != 0
	}
	r.cellOf(24, 16)
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
		assert.Equal(t, r.state1(id), modeler.FlowCompleted)
		longest = max(longest, r.first[id].Sub(at))
	}
	for i := range 24 {
		id := modeler.FlowID(fmt.Sprintf("long%02d", i))
		assert.Equal(t, r.state1(id), modeler.FlowCompleted)
		last = max(last, r.finished[id].Sub(began))
	}
	return longest, last
}

// Guards against short urgent work that waits for long tasks to end: it begins
// within a second, a stop and a commit, and the long tasks lose a checkpoint's
// work at most each time, so that they are done within their own objective of
// 2.2 times their work and a second.
func TestUrgentWorkGetsRoom(t *testing.T) {
	for _, permits := range []bool{false, true} {
		longest, last := fullCell(t, permits, true)
		assert.Check(t, longest < time.Second, "permits %v: urgent work waited %v", permits, longest)
		assert.Check(t, last < 2*6*time.Second+2200*time.Millisecond, "permits %v: long work took %v", permits, last)
	}
}

// Guards against work that is thrown away: tasks that can't be resumed go on.
func TestWorkThatCannotBeResumedGoesOn(t *testing.T) {
	longest, _ := fullCell(t, false, false)
	assert.Check(t, longest > time.Second, "urgent work waited %v beside tasks that can't make room", longest)
}

package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// crowdedCell runs flows of small tasks that keep all 12 workers busy for 40 s, and
// every 3 s a flow that needs a whole worker. The outside policy allows each flow
// about a third of the workers and takes 430 ms for an answer. It returns the longest
// times from the arrival of a large flow and of a small one to their ends.
func crowdedCell(t *testing.T, checkpoints bool) (large, small time.Duration) {
	r := newRig(t, 5)
	r.allowed = func(unit modeler.StepKey, id modeler.WorkerID) bool {
		hash := 0
		for _, c := range string(unit.Flow) + string(id) {
			hash = (31*hash + int(c)) % 997
		}
		return hash%3 == 0
	}
	r.addWorkers(12, 16)
	r.run(2 * time.Second)
	policy := modeler.QueuePolicy{
		Slowdown: 4, Latency: 3 * time.Second,
		Permits: &modeler.PermitPolicy{Decision: 430 * time.Millisecond, Worker: 6 * time.Millisecond, Validity: 2 * time.Second},
	}
	arrived := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range 160 {
		f := flow(modeler.FlowID(fmt.Sprintf("small%03d", i)), step(5, 2, 3*time.Second))
		f.Queue = "small"
		f.Policy = policy
		f.Policy.Priority = 2
		f.Steps[0].Checkpoints = checkpoints
		arrived[f.ID] = r.now
		r.submit(f)
		if i%12 == 6 {
			f := flow(modeler.FlowID(fmt.Sprintf("large%02d", i/12)), step(1, 16, 3*time.Second))
			f.Queue = "large"
			f.Policy = policy
			f.Policy.Priority = 1
			arrived[f.ID] = r.now
			r.submit(f)
		}
		r.run(250 * time.Millisecond)
	}
	r.run(40 * time.Second)
	for id, at := range arrived {
		assert.Equal(t, r.flowState(id), modeler.FlowCompleted, "%s", id)
		took := r.finishedAt[id].Sub(at)
		if id[0] == 'l' {
			large = max(large, took)
		} else {
			small = max(small, took)
		}
	}
	return large, small
}

// Guards against tasks that need a whole worker and starve in a pool full of small
// tasks, which take each piece of room as it becomes free. Both have an objective of
// 4 times their work and 3 s.
func TestLargeTasksGetRoomAmongSmallOnes(t *testing.T) {
	for _, checkpoints := range []bool{false, true} {
		large, small := crowdedCell(t, checkpoints)
		t.Logf("checkpoints %v: large flows took up to %v, small ones up to %v", checkpoints, large, small)
		assert.Check(t, large <= 4*3*time.Second+3*time.Second, "checkpoints %v: a large flow took %v", checkpoints, large)
		assert.Check(t, small <= 4*3*time.Second+3*time.Second, "checkpoints %v: a small flow took %v", checkpoints, small)
	}
}

// Guards against a gang that never starts because some of its workers are always in
// use, and against a cell that stands idle while it waits for all of them.
func TestGangGetsRoomInBusyCell(t *testing.T) {
	r := newRig(t, 6)
	r.addWorkers(8, 16)
	r.run(2 * time.Second)
	var last modeler.FlowID
	var gangAt modeler.ClockReading
	for i := range 120 {
		f := flow(modeler.FlowID(fmt.Sprintf("small%03d", i)), step(4, 4, 2*time.Second))
		f.Policy.Priority = 2
		last = f.ID
		r.submit(f)
		if i == 20 {
			f := flow("gang", step(4, 16, 2*time.Second))
			f.Steps[0].Gang = true
			f.Policy.Priority = 1
			gangAt = r.now
			r.submit(f)
		}
		r.run(250 * time.Millisecond)
	}
	begun := r.now
	r.run(40 * time.Second)
	assert.Equal(t, r.flowState("gang"), modeler.FlowCompleted)
	took := r.finishedAt["gang"].Sub(gangAt)
	t.Logf("the gang took %v, the last small flow ended %v after its arrival", took, r.finishedAt[last].Sub(begun))
	// All tasks that run when the gang arrives end within 2 s; its own work takes 2 s.
	assert.Check(t, took < 6*time.Second, "the gang took %v", took)
	// The small flows need 30 s of the cell, and 120 arrivals take 30 s.
	assert.Check(t, r.finishedAt[last].Sub(begun) < 12*time.Second, "the small flows were done %v after the last arrival", r.finishedAt[last].Sub(begun))
}

// Guards against a waiting step whose permits run out: a slow outside policy would
// answer only after other steps have taken the room. The step must start as soon as
// the task on its worker ends, also if that is long after its first permit.
func TestWaitingStepHoldsPermits(t *testing.T) {
	// With UsefulPermits the step asks only when room is near; without it the first permit
	// has to be renewed, as it is where the end of a task is not foreseen.
	for _, disabled := range []map[dispatcher.Decision]bool{nil, {dispatcher.UsefulPermits: true}} {
		// A permit is valid for 1.7 s here, so one of the moments would fall into a gap.
		for runtime := 4 * time.Second; runtime < 6*time.Second; runtime += 300 * time.Millisecond {
			r := newRig(t, 7)
			r.disabled = disabled
			r.electLeader()
			r.addWorkers(1, 16)
			r.run(2 * time.Second)
			r.submit(flow("first", step(1, 16, runtime)))
			r.run(300 * time.Millisecond)
			f := flow("second", step(1, 16, time.Second))
			f.Policy.Permits = &modeler.PermitPolicy{Decision: 430 * time.Millisecond, Worker: 6 * time.Millisecond, Validity: 2 * time.Second}
			r.submit(f)
			r.run(15 * time.Second)
			assert.Equal(t, r.flowState("second"), modeler.FlowCompleted)
			waited := r.flowStart["second"].Sub(r.finishedAt["first"])
			// An end takes a commit, and a start another one; the policy takes 436 ms.
			assert.Check(t, waited < 200*time.Millisecond, "the step started %v after its worker had room, %v after the start", waited, runtime)
		}
	}
}

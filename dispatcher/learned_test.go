package dispatcher_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// newUnevenRig returns a rig whose leader has learned the uneven speeds of its workers and
// the run times of the queue "q".
func newUnevenRig(t *testing.T) *rig {
	r := newRig(t, 35)
	layout := modeler.Layout{Number: 1, Queues: []modeler.Queue{{Host: "q"}}}
	r.commit(func() { r.state.SetLayout(&layout) })
	r.addWorkers(30, 8)
	r.useSpeeds(0.7, 0.7, 1.7)
	r.run(time.Second)
	r.submitMany("f", 150, 800*time.Millisecond)
	r.run(20 * time.Second)
	return r
}

// Guards against a new leader that takes all workers for alike and believes all estimates
// until it has learned anew.
func TestLearnedAcrossLeaders(t *testing.T) {
	r := newUnevenRig(t)
	before := r.learnedSpeeds()
	queue, found := r.state.LearnedQueue("q")
	assert.Assert(t, found && queue.Count > 1000, "%d run times are recorded", queue.Count)
	r.electLeader()
	after := r.learnedSpeeds()
	assert.Equal(t, len(after), len(before))
	for id, speed := range before {
		assert.Check(t, math.Abs(math.Log(after[id]/speed)) < 0.1, "%s had the speed %.3f and has %.3f", id, speed, after[id])
	}
	// The count of the next record shows whether the queue began anew.
	r.submitMany("g", 30, 800*time.Millisecond)
	r.run(20 * time.Second)
	next, _ := r.state.LearnedQueue("q")
	assert.Check(t, next.Count >= queue.Count+200, "%d run times were recorded, and then %d", queue.Count, next.Count)
	assert.Check(t, math.Abs(next.Runtime-queue.Runtime) < 0.1, "the mean was %.3f and is %.3f", queue.Runtime, next.Runtime)
}

// Guards against a worker that counts as slow although it has restarted, maybe on another
// machine.
func TestRestartedWorkerStartsAnew(t *testing.T) {
	r := newUnevenRig(t)
	r.expectFaults = true
	w := r.workers["w02"]
	assert.Assert(t, r.learnedSpeeds()["w02"] > 1.3)
	r.crash(w)
	r.restart(w)
	r.run(4 * time.Second)
	_, found := r.state.LearnedWorker("w02")
	assert.Assert(t, !found, "what was learned of an earlier generation is kept")
	for range 2 {
		speed := r.learnedSpeeds()["w02"]
		assert.Check(t, speed > 1/1.35 && speed < 1.35, "a worker without tasks has the speed %.3f", speed)
		r.electLeader()
	}
}

// Guards against commands that come too often or grow with the cell, and against records
// that are never replaced once one was lost.
func TestRecordsAreBounded(t *testing.T) {
	r := newUnevenRig(t)
	r.submitMany("g", 20, 800*time.Millisecond)
	r.run(4 * time.Second)
	for i := range 600 {
		r.addWorker(modeler.WorkerID(fmt.Sprintf("x%03d", i)), 8, "r")
	}
	r.run(time.Second)
	for i := range 40 {
		f := flow(modeler.FlowID(fmt.Sprintf("wide%d", i)), step(100, 2, 800*time.Millisecond))
		r.submit(f)
	}
	r.run(time.Second)
	recorded := make(map[modeler.WorkerID]bool)
	last := modeler.ClockReading(0)
	commands := 0
	// The commands are lost until then.
	keepFrom := r.now.Add(6 * time.Second)
	r.onLearned = func(l *modeler.Learned) bool {
		commands++
		assert.Check(t, r.now.Sub(last) >= 2*time.Second, "two commands within %v", r.now.Sub(last))
		assert.Check(t, len(l.Workers) <= 256 && len(l.Queues) <= 64, "%d workers and %d queues in a command", len(l.Workers), len(l.Queues))
		last = r.now
		if r.now < keepFrom {
			return false
		}
		for _, w := range l.Workers {
			recorded[w.Worker] = true
		}
		return true
	}
	r.run(20 * time.Second)
	assert.Check(t, commands >= 3)
	assert.Check(t, len(recorded) > 256, "%d workers were recorded after the loss", len(recorded))
	r.onLearned = func(l *modeler.Learned) bool {
		t.Errorf("%d workers and %d queues are recorded again without news", len(l.Workers), len(l.Queues))
		return true
	}
	r.run(10 * time.Second)
}

// Guards against queues whose run times are never learned because their flows have a single
// task: the end of the flow is reported before that of its last task.
func TestLearnsFromLastTasks(t *testing.T) {
	r := newRig(t, 36)
	layout := modeler.Layout{Number: 1, Queues: []modeler.Queue{{Host: "q"}}}
	r.commit(func() { r.state.SetLayout(&layout) })
	r.addWorkers(8, 8)
	r.run(time.Second)
	for i := range 20 {
		r.submit(flow(modeler.FlowID(fmt.Sprint("f", i)), step(1, 2, 500*time.Millisecond)))
		r.run(100 * time.Millisecond)
	}
	r.run(10 * time.Second)
	queue, _ := r.state.LearnedQueue("q")
	assert.Equal(t, queue.Count, 20)
}

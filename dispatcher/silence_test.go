package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// newLastingRig returns a rig with a step of two tasks that last, on different workers, and
// the worker of the first one.
func newLastingRig(t *testing.T) (*rig, *worker) {
	r := newRig(t, 8)
	r.checks, r.confirms = true, true
	r.addWorkers(4, 8)
	r.run(time.Second)
	s := step(2, 2, 100*time.Millisecond)
	s.LongRunning, s.PerWorker = true, 1
	r.submit(flow("f", s))
	r.run(2 * time.Second)
	for _, w := range r.sortedWorkers() {
		if w.running[modeler.FlowTask{Flow: "f"}] != nil {
			return r, w
		}
	}
	t.Fatal("the task doesn't run")
	return nil, nil
}

// Guards against tasks of a lost worker that wait for the longest lease anew with each new
// leader. None runs twice, as the worker may only be cut off: the rig's workers report it.
func TestNewLeadersWaitForTheRestOfALease(t *testing.T) {
	for _, changes := range [][]time.Duration{{5900 * time.Millisecond}, {3 * time.Second, 5 * time.Second}, {2 * time.Second, 4 * time.Second, 6 * time.Second}} {
		for _, isLost := range []bool{false, true} {
			r, w := newLastingRig(t)
			lostAt := r.now
			w.isolated = true
			if isLost {
				r.crash(w)
			}
			for _, after := range changes {
				r.run(lostAt.Add(after).Sub(r.now))
				r.electLeader()
			}
			last := changes[len(changes)-1]
			// Two announcements are awaited after a change of the leader, and the start takes a
			// tick and commits.
			r.run(3800 * time.Millisecond)
			took := r.lastStart[modeler.FlowTask{Flow: "f"}].Sub(lostAt)
			assert.Check(t, took > last, "changes %v: the task is not started elsewhere %v after its worker was lost", changes, r.now.Sub(lostAt))
			assert.Equal(t, r.countRunning(), 2)
		}
	}
}

// Guards against a lease that is extended after the silence of its worker was recorded: the
// worker returns, and is lost again while only an earlier leader knows that.
func TestLeaseIsNotExtendedBeforeReturnIsRecorded(t *testing.T) {
	r, w := newLastingRig(t)
	w.isolated = true
	r.run(2500 * time.Millisecond)
	assert.Equal(t, len(r.state.Silences()), 1)
	// The record of the return takes longer than a lease.
	r.commitTime = 8 * time.Second
	w.isolated = false
	r.run(4 * time.Second)
	w.isolated = true
	r.commitTime = 10 * time.Millisecond
	r.electLeader()
	r.run(10 * time.Second)
	assert.Equal(t, r.countRunning(), 2)
	assert.Check(t, r.starts[modeler.FlowTask{Flow: "f"}] == 2)
}

// Guards against a worker that is not used any more after it was silent, and against a record
// of each missed renewal.
func TestWorkerReturnsFromSilence(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		r, w := newLastingRig(t)
		w.isolated = true
		r.run(time.Second)
		w.isolated = false
		r.run(time.Second)
		assert.Equal(t, r.events["worker is silent"], 0)
		w.isolated = true
		r.run(3 * time.Second)
		w.isolated = false
		if newLeader {
			r.electLeader()
		}
		r.run(2 * time.Second)
		assert.Equal(t, len(r.state.Silences()), 0)
		assert.Equal(t, r.starts[modeler.FlowTask{Flow: "f"}], 1)
		r.submit(flow("g", step(16, 1, time.Second)))
		r.run(1500 * time.Millisecond)
		assert.Equal(t, r.flowState("g"), modeler.FlowCompleted)
		r.run(8 * time.Second)
		assert.Equal(t, r.starts[modeler.FlowTask{Flow: "f"}], 1)
	}
}

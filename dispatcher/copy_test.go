package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// copied returns a step whose tasks may run several times at once.
func copied(count, cores int, estimate time.Duration) modeler.Step {
	s := step(count, cores, estimate)
	s.AllowCopies = true
	return s
}

// busiest returns the worker with the most tasks.
func (r *rig) busiest() *worker {
	all := r.all()
	best := all[0]
	for _, w := range all {
		if len(w.running) > len(best.running) {
			best = w
		}
	}
	return best
}

// Guards against tasks that wait for the lease of a silent worker although
// other attempts of them may run beside it. Work of 1 s with an objective of
// 1.75 s is worth something up to 5.25 s; the lease takes more than 6 s.
func TestCopiesOfSilentWorkersTasks(t *testing.T) {
	for _, crash := range []bool{false, true} {
		r := newRig(t, 20)
		r.cellOf(4, 8)
		r.submit(flow("f", copied(8, 2, time.Second)))
		r.run(300 * time.Millisecond)
		began := r.now
		if crash {
			r.crash(r.busiest())
		} else {
			r.busiest().cut = true
		}
		r.run(lease / 2)
		assert.Equal(t, r.state1("f"), modeler.FlowCompleted, "crash %v", crash)
		took := r.finished["f"].Sub(began)
		// A renewal of 500 ms that is answered still, one of 650 ms and one of
		// 150 ms that are not, a tick, two commits and the work of 1 s.
		assert.Assert(t, took < 2500*time.Millisecond, "crash %v: took %v", crash, took)
	}
}

// Guards against an abandoned attempt whose end does not count, though it is
// the first one that is done.
func TestAbandonedAttemptCounts(t *testing.T) {
	for _, lead := range []bool{false, true} {
		r := newRig(t, 21)
		r.cellOf(4, 8)
		r.submit(flow("f", copied(1, 2, 3*time.Second)))
		r.run(500 * time.Millisecond)
		w := r.busiest()
		w.cut = true
		r.run(1500 * time.Millisecond)
		assert.Equal(t, len(r.order), 2)
		w.cut = false
		if lead {
			r.lead()
		}
		r.run(1500 * time.Millisecond)
		assert.Equal(t, r.state1("f"), modeler.FlowCompleted, "new leader %v", lead)
		r.run(2 * stopTime)
		for _, w := range r.all() {
			assert.Equal(t, len(w.running), 0, "new leader %v: %s", lead, w.machine.ID)
		}
		assert.Equal(t, len(r.order), 2, "new leader %v", lead)
	}
}

// Guards against a task that is started again although its abandoned attempt
// goes on, where no other worker has had room for it meanwhile.
func TestAbandonedAttemptStands(t *testing.T) {
	r := newRig(t, 22)
	r.cellOf(4, 8)
	r.submit(flow("f", copied(1, 2, 3*time.Second)))
	r.run(500 * time.Millisecond)
	w := r.busiest()
	for _, other := range r.all() {
		if other != w {
			other.machine.Leaving = true
			r.note(other)
		}
	}
	w.cut = true
	r.run(time.Second)
	w.cut = false
	r.run(300 * time.Millisecond)
	r.addWorker("new", 8, "r9")
	r.run(2 * time.Second)
	assert.Equal(t, r.state1("f"), modeler.FlowCompleted)
	assert.Equal(t, len(r.order), 1)
}

// Guards against copies of all tasks when the leader itself is cut off.
func TestNoCopiesWithoutWorkers(t *testing.T) {
	r := newRig(t, 23)
	r.cellOf(4, 8)
	r.submit(flow("f", copied(8, 2, 3*time.Second)))
	r.run(500 * time.Millisecond)
	for _, w := range r.all() {
		w.cut = true
	}
	r.run(time.Second)
	for _, w := range r.all() {
		w.cut = false
	}
	r.run(3 * time.Second)
	assert.Equal(t, r.state1("f"), modeler.FlowCompleted)
	assert.Equal(t, len(r.order), 8)
}

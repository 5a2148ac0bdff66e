package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// departure is one way in which a generation of a worker ends.
type departure string

const (
	planned      departure = "planned"
	crashed      departure = "crashed"
	crashedTwice departure = "crashed twice"
)

// endGeneration ends a generation of a worker and starts the next one under the same
// id after away.
func (r *rig) endGeneration(w *worker, how departure, away time.Duration) {
	if how == planned {
		w.announcement.Leaving, w.announcement.Remaining = true, time.Second
		r.commitAnnouncement(w)
		r.run(time.Second)
		r.commit(func() { r.state.RecordDepartures(r.stamp(), []modeler.WorkerID{w.announcement.ID}) })
	}
	r.crash(w)
	r.run(away)
	r.returnWorker(w)
	if how == crashedTwice {
		r.run(300 * time.Millisecond)
		r.crash(w)
		r.run(away)
		r.returnWorker(w)
	}
}

// returnWorker starts the next generation of a worker, which announces itself at once.
func (r *rig) returnWorker(w *worker) {
	w.announcement.Leaving, w.announcement.Remaining = false, 0
	r.beginGeneration(w)
	r.commitAnnouncement(w)
}

// Guards against a start that arrives late at a later generation of its worker and runs
// the task a second time. The leader had forgotten the start when the worker left, or
// when it had been silent for 6 s.
func TestLateStartAfterReturn(t *testing.T) {
	for _, how := range []departure{planned, crashed, crashedTwice} {
		for _, away := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 7500 * time.Millisecond} {
			for _, late := range []time.Duration{4 * time.Second, 9 * time.Second, 12 * time.Second, 40 * time.Second} {
				for _, newLeader := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%v/%v/%v", how, away, late, newLeader), func(t *testing.T) {
						r := newRig(t, 1)
						r.expectFaults, r.lateOrdersSurviveRestart, r.lateDelay = true, true, late
						r.addWorkers(3, 8)
						// The deadline of the late order is on the clock of a generation that has been up for longer.
						r.run(time.Minute)
						lasting := step(2, 1, 100*time.Millisecond)
						lasting.LongRunning = true
						r.faultRates.late = 1
						r.submit(flow("f", lasting))
						r.run(50 * time.Millisecond)
						r.faultRates.late = 0
						r.run(time.Second)
						assert.Equal(t, len(r.starts), 2)
						w := r.busiest()
						r.endGeneration(w, how, away)
						if newLeader {
							r.run(time.Second)
							r.electLeader()
						}
						r.run(late + lease)
						assert.Equal(t, r.countRunning(), 2)
					})
				}
			}
		}
	}
}

// Guards against attempts that are given up as soon as their worker comes back, before it
// has answered: the new generation may have carried out their starts, and holds a lease.
// The leases that the leader assumed there were those of the time of its election.
func TestAttemptsWaitForAnswerOfReturnedWorker(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 4 * time.Second} {
		r := newRig(t, 1)
		r.addWorkers(2, 8)
		r.run(time.Minute)
		w := r.workers["w00"]
		r.beginGeneration(w)
		lasting := step(4, 1, 100*time.Millisecond)
		lasting.LongRunning = true
		r.submit(flow("f", lasting))
		r.run(60 * time.Millisecond)
		assert.Equal(t, len(w.running), 4)
		w.unreachable = true
		r.commitAnnouncement(w)
		r.run(silence)
		w.unreachable = false
		r.run(lease)
		assert.Equal(t, r.countRunning(), 4)
	}
}

// countRunning returns the number of running tasks on all workers.
func (r *rig) countRunning() int {
	running := 0
	for _, w := range r.workers {
		running += len(w.running)
	}
	return running
}

// Guards against tasks without a run after their worker has crashed during a stop and
// come back. The leader compared the clock of the new generation with the reading at
// which the earlier one had answered the stop, and waited for as long as that one had
// been up.
func TestWorkerReturnsDuringStop(t *testing.T) {
	for _, upFor := range []time.Duration{5 * time.Second, 40 * time.Second, 30 * time.Minute} {
		for _, down := range []time.Duration{10 * time.Millisecond, time.Second, 4 * time.Second} {
			for _, crashes := range []int{1, 2, 3} {
				for _, newLeader := range []bool{false, true} {
					t.Run(fmt.Sprintf("%v/%v/%d/%v", upFor, down, crashes, newLeader), func(t *testing.T) {
						r := newRig(t, 1)
						r.addWorkers(3, 8)
						for _, w := range r.workers {
							w.startedAt = w.startedAt.Add(-upFor)
						}
						lasting := step(2, 1, 100*time.Millisecond)
						lasting.LongRunning = true
						r.submit(flow("f", lasting))
						r.run(time.Second)
						if newLeader {
							r.electLeader()
							r.run(time.Second)
						}
						w := r.busiest()
						w.announcement.Leaving, w.announcement.Remaining = true, 2*time.Second
						r.commitAnnouncement(w)
						for range crashes {
							r.run(100 * time.Millisecond)
							r.crash(w)
							r.run(down)
							r.returnWorker(w)
						}
						r.run(2 * time.Second)
						assert.Equal(t, r.countRunning(), 2)
					})
				}
			}
		}
	}
}

// Guards against a start that arrives late at a new generation of its worker while the
// leader takes that for the earlier one. The announcement of the new generation may come
// seconds after its first answer, which names it.
func TestLateStartBeforeReturnIsAnnounced(t *testing.T) {
	for _, late := range []time.Duration{4 * time.Second, 5 * time.Second, 9 * time.Second} {
		r := newRig(t, 1)
		r.lateOrdersSurviveRestart, r.lateOrdersArriveFirst, r.lateDelay = true, true, late
		w := r.addWorker("w00", 8, "r0")
		r.run(time.Minute)
		second := step(1, 1, time.Minute)
		second.After = []modeler.StepIndex{0}
		r.faultRates.late = 1
		r.submit(flow("f", step(1, 1, 300*time.Millisecond), second))
		r.run(50 * time.Millisecond)
		r.faultRates.late = 0
		r.run(time.Second)
		f, _ := r.state.Flow("f")
		assert.Equal(t, f.OpenTasks, 1)
		r.crash(w)
		r.beginGeneration(w)
		r.run(late + time.Second)
		assert.Equal(t, r.starts[modeler.FlowTask{Flow: "f"}], 1, "late by %v", late)
		r.commitAnnouncement(w)
		r.run(time.Second)
		assert.Equal(t, r.countRunning(), 1)
	}
}

// Guards against a task that never starts again because an attempt of it was held back
// for a generation of a worker that ended meanwhile. The worker had listed an earlier
// attempt as done while the next one was being committed, and then crashed.
func TestHeldBackTaskOutlivesItsLister(t *testing.T) {
	seen := false
	for outage := 18 * time.Second; outage < 28*time.Second; outage += 250 * time.Millisecond {
		for _, crashAfter := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			r := newRig(t, 1)
			r.addWorkers(3, 8)
			r.submit(flow("f", step(1, 2, 3*time.Second)))
			r.run(time.Second)
			r.commitTime = 2 * time.Second
			w := r.busiest()
			w.unreachable = true
			r.run(outage)
			w.unreachable = false
			r.run(crashAfter)
			before := r.starts[modeler.FlowTask{Flow: "f"}]
			r.crash(w)
			r.run(100 * time.Millisecond)
			r.returnWorker(w)
			r.commitTime = 10 * time.Millisecond
			r.run(30 * time.Second)
			assert.Equal(t, r.flowState("f"), modeler.FlowCompleted, "outage of %v, crash after %v", outage, crashAfter)
			seen = seen || before > 1
		}
	}
	assert.Assert(t, seen, "no attempt was given up: the worker was reachable again too early")
}

// Guards against a step that never gets a worker because the outside policy denied an
// earlier generation of it. A worker may come back as another kind, which is allowed.
func TestDenialEndsWithItsGeneration(t *testing.T) {
	r := newRig(t, 1)
	r.permits = true
	denied := true
	r.allowed = func(modeler.StepKey, modeler.WorkerID) bool { return !denied }
	w := r.addWorker("w00", 8, "r0")
	r.run(time.Second)
	r.submit(flow("f", step(1, 1, 100*time.Millisecond)))
	r.run(time.Second)
	assert.Equal(t, r.permitRequests, 1)
	denied = false
	r.run(time.Second)
	assert.Equal(t, r.permitRequests, 1, "a denial of the same generation was asked again")
	denied = true
	r.crash(w)
	r.returnWorker(w)
	for range 100 {
		if r.permitRequests == 1 {
			r.step()
		}
	}
	assert.Equal(t, r.permitRequests, 2)
	denied = false
	// This generation ends before the policy has answered the question about it.
	r.crash(w)
	r.returnWorker(w)
	r.run(time.Second)
	assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
}

// Guards against a worker that is removed right after it has come back, with all that
// runs there: the departure of its earlier generation was under way to the log.
func TestDepartureSparesNewerGeneration(t *testing.T) {
	for _, commitTime := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for away := 5 * time.Second; away < 10*time.Second; away += 250 * time.Millisecond {
			r := newRig(t, 1)
			r.addWorkers(2, 8)
			r.run(time.Second)
			r.commitTime = commitTime
			w := r.workers["w00"]
			r.crash(w)
			r.run(away)
			r.returnWorker(w)
			lasting := step(8, 2, 100*time.Millisecond)
			lasting.LongRunning = true
			r.submit(flow("f", lasting))
			r.run(2*commitTime + 10*time.Second)
			assert.Equal(t, r.countRunning(), 8, "away for %v, commits of %v", away, commitTime)
			assert.Equal(t, len(r.startOrder), 8, "away for %v, commits of %v", away, commitTime)
		}
	}
}

// Guards against work that is lost with a worker that leaves while the leader changes: the
// new one stopped only the tasks of workers that began to leave later.
func TestNewLeaderDrainsLeavingWorker(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers(4, 8)
	lasting := step(2, 1, 100*time.Millisecond)
	lasting.LongRunning = true
	r.submit(flow("lasting", lasting))
	r.run(2 * time.Second)
	w := r.busiest()
	w.announcement.Leaving, w.announcement.Remaining = true, 2*time.Second
	// The former leader is gone before it has sent its orders.
	r.commitAnnouncement(w)
	r.electLeader()
	r.run(time.Second)
	assert.Equal(t, len(w.running), 0, "%v still run there", w.sortedTasks())
	assert.Equal(t, r.countRunning(), 2)
}

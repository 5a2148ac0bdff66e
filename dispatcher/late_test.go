package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// newLaggingRig returns a rig whose leader processes only eventsPerTick events
// in a tick, after all flows have been submitted under that load.
func newLaggingRig(t *testing.T, seed uint64, eventsPerTick int) *rig {
	r := newRig(t, seed)
	r.addWorkers(24, 16)
	r.run(2 * time.Second)
	r.eventsPerTick = eventsPerTick
	for i := range 40 {
		first := step(2+r.random.IntN(12), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(1200))*time.Millisecond)
		second := step(1+r.random.IntN(6), 1+r.random.IntN(3), time.Duration(100+r.random.IntN(1200))*time.Millisecond)
		second.After = []modeler.StepIndex{0}
		r.submit(flow(modeler.FlowID(fmt.Sprintf("f%02d", i)), first, second))
		r.run(150 * time.Millisecond)
	}
	return r
}

// Guards against a leader that mistakes its own lag for silence of its workers.
// The load needs about 20 events in a tick. Down to a tenth of that, no task
// may run twice or be started again, and all must be done after the load has
// ended.
func TestLaggingLeaderRunsNoTaskTwice(t *testing.T) {
	for _, rate := range []int{2, 3, 5, 8, 20} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", rate, seed), func(t *testing.T) {
				r := newLaggingRig(t, seed, rate)
				r.run(60 * time.Second)
				for i := range 40 {
					id := modeler.FlowID(fmt.Sprintf("f%02d", i))
					assert.Check(t, r.flowState(id) == modeler.FlowCompleted, "%s is %s", id, r.flowState(id))
				}
				again := 0
				for task, n := range r.starts {
					if n > 1 {
						again++
						t.Logf("task %v was started %d times", task, n)
					}
				}
				assert.Check(t, again == 0, "%d of %d tasks were started again without a fault", again, len(r.starts))
			})
		}
	}
}

// Guards against a task that runs again although its worker was only
// unreachable. The worker still sends announcements, has done the task, and
// reports that in its next list. A leader without free file descriptors, or a
// new and overloaded one, can fail to get answers for longer than the lease.
func TestUnreadEndIsNotRunAgain(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers(3, 8)
	r.submit(flow("f", step(6, 2, 3*time.Second)))
	r.run(time.Second)
	r.electLeader()
	for _, w := range r.workers {
		w.unreachable = true
	}
	r.run(9 * time.Second)
	for _, w := range r.workers {
		w.unreachable = false
	}
	r.run(10 * time.Second)
	assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
	for task, n := range r.starts {
		assert.Check(t, n == 1, "task %v was started %d times", task, n)
	}
}

// Guards against a completed task that runs again. Its worker was unreachable
// for much longer than its lease and lists the task as done while the next
// attempt is being committed, before any order of that attempt was sent.
func TestDoneWhileNextAttemptIsCommitted(t *testing.T) {
	seen := false
	for outage := 18 * time.Second; outage < 28*time.Second; outage += 250 * time.Millisecond {
		r := newRig(t, 1)
		r.addWorkers(3, 8)
		r.submit(flow("f", step(1, 2, 3*time.Second)))
		r.run(time.Second)
		r.commitTime = 2 * time.Second
		task := modeler.FlowTask{Flow: "f"}
		for _, w := range r.workers {
			w.unreachable = len(w.running) > 0
		}
		r.run(outage)
		for _, w := range r.workers {
			w.unreachable = false
		}
		r.run(300 * time.Millisecond)
		before := r.starts[task]
		r.run(20 * time.Second)
		assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
		if before == 1 {
			assert.Check(t, r.starts[task] == 1, "reachable again after %v: started %d times", outage, r.starts[task])
		}
		seen = seen || before > 1
	}
	assert.Assert(t, seen, "no attempt was given up: all workers were reachable again too early")
}

// eventLag returns how long the oldest unprocessed event has been waiting.
func (r *rig) eventLag() time.Duration {
	if len(r.inbox) == 0 {
		return 0
	}
	return r.now.Sub(r.inbox[0].at)
}

// runOverload submits flows faster than the leader can process the events that
// they cause. It returns the longest time from the acceptance of a flow to its
// first start, and how many flows were refused.
func runOverload(t *testing.T, refuses bool) (longest time.Duration, refused int) {
	r := newRig(t, 1)
	r.addWorkers(24, 32)
	r.run(2 * time.Second)
	r.eventsPerTick = 2
	var overload dispatcher.Overload
	arrived := make(map[modeler.FlowID]modeler.ClockReading)
	for i := range 400 {
		id := modeler.FlowID(fmt.Sprintf("f%03d", i))
		if overload.Update(r.eventLag()) && refuses {
			refused++
		} else {
			arrived[id] = r.now
			r.submit(flow(id, step(8, 1, 300*time.Millisecond)))
		}
		r.run(30 * time.Millisecond)
	}
	r.run(2 * time.Minute)
	for id, at := range arrived {
		assert.Equal(t, r.flowState(id), modeler.FlowCompleted)
		longest = max(longest, r.flowStart[id].Sub(at))
	}
	assert.Assert(t, !overload.Update(r.eventLag()), "flows are refused after the load is over")
	return longest, refused
}

// Guards against a leader that accepts flows which it can't start before their
// callers give up. Callers retry for 3 s, and a flow that is refused at once
// can be submitted again. The test also checks that without refusals accepted
// flows would wait longer than that.
func TestOverloadedLeaderRefuses(t *testing.T) {
	const callerRetryTime = 3 * time.Second
	longest, refused := runOverload(t, true)
	assert.Check(t, longest < callerRetryTime, "an accepted flow waited %v", longest)
	assert.Check(t, refused > 0 && refused < 400, "%d of 400 flows were refused", refused)
	unbounded, _ := runOverload(t, false)
	assert.Check(t, unbounded > callerRetryTime, "without refusals accepted flows waited only %v", unbounded)
}

// Guards against an overload decision that flips with each event: accepting
// again must need a smaller lag than refusing.
func TestOverloadHysteresis(t *testing.T) {
	var o dispatcher.Overload
	for _, c := range []struct {
		behind  time.Duration
		refuses bool
	}{
		{0, false},
		{900 * time.Millisecond, false},
		{1100 * time.Millisecond, true},
		{500 * time.Millisecond, true},
		{200 * time.Millisecond, false},
		{500 * time.Millisecond, false},
	} {
		assert.Equal(t, o.Update(c.behind), c.refuses, "event lag %v", c.behind)
	}
}

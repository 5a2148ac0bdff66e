package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/modeler"
)

// newRigWithLostWorker returns a rig in which only one of six workers has room, and that one
// is lost without a trace. It runs something small, so that it has just been heard.
func newRigWithLostWorker(t *testing.T) *rig {
	r := newRig(t, 3)
	r.checks = true
	r.addWorkers(6, 16)
	r.run(time.Second)
	full := step(5, 16, time.Hour)
	r.submit(flow("full", full))
	r.run(100 * time.Millisecond)
	r.submit(flow("small", step(1, 1, time.Hour)))
	r.run(time.Second)
	assert.Equal(t, r.state.Pending("q"), 0)
	for _, w := range r.workers {
		w.isolated = w.running[modeler.FlowTask{Flow: "small"}] != nil
	}
	return r
}

// Guards against jobs that are shown as running, and left out of the number of queued ones,
// although their starts went to a lost worker and never arrived: single tasks, several
// tasks and gangs, also after a change of the leader, until a worker has begun one.
func TestStartsThatNeverArriveLeaveFlowsPending(t *testing.T) {
	for _, count := range []int{1, 2, 3} {
		for _, electsLeader := range []bool{false, true} {
			r := newRigWithLostWorker(t)
			for i := range 4 {
				s := step(count, 1, time.Second)
				s.Gang = count == 2
				r.submit(flow(modeler.FlowID(fmt.Sprintf("f%d", i)), s))
			}
			unbegun := 0
			for range 50 {
				r.run(tick)
				unbegun = max(unbegun, r.leader.Stats(r.now).Unbegun)
			}
			assert.Check(t, unbegun > 0, "%d tasks: no start was sent to the lost worker", count)
			if electsLeader {
				r.run(time.Second)
				r.electLeader()
			}
			for range 200 {
				r.run(100 * time.Millisecond)
				assert.Equal(t, r.state.Pending("q"), 4)
			}
			assert.Equal(t, r.leader.Stats(r.now).Unbegun, 0)
			r.addWorker("w06", 16, "r1")
			r.run(300 * time.Millisecond)
			assert.Equal(t, r.state.Pending("q"), 0)
			assert.Equal(t, r.flowState("f0"), modeler.FlowRunning)
			r.run(3 * time.Second)
			assert.Equal(t, r.flowState("f0"), modeler.FlowCompleted)
		}
	}
}

// Guards against jobs that count as queued again although a worker has begun one task of
// them: it was lost, with the leader that knew it.
func TestBegunFlowsStayRunning(t *testing.T) {
	for _, electsLeader := range []bool{false, true} {
		r := newRig(t, 4)
		r.checks = true
		r.addWorkers(2, 16)
		r.run(time.Second)
		// The second task waits for room, and so do the later occurrences.
		single := flow("f", step(2, 10, time.Hour))
		scheduled := flow("g", step(1, 6, time.Hour))
		scheduled.Occurrences, scheduled.Start, scheduled.Interval = 3, r.stamp(), time.Second
		r.submit(flow("full", step(1, 10, time.Hour)))
		r.run(100 * time.Millisecond)
		r.submit(single)
		r.submit(scheduled)
		r.run(500 * time.Millisecond)
		for _, id := range []modeler.FlowID{"f", "g"} {
			assert.Equal(t, r.flowState(id), modeler.FlowRunning)
		}
		for _, w := range r.workers {
			w.isolated = true
		}
		if electsLeader {
			r.electLeader()
		}
		r.run(30 * time.Second)
		assert.Check(t, r.events["worker lost"] > 0)
		for _, id := range []modeler.FlowID{"f", "g"} {
			assert.Equal(t, r.flowState(id), modeler.FlowRunning)
		}
		assert.Equal(t, r.state.Pending("q"), 0)
	}
}

// Guards against a job that stays pending because the record of its beginning was lost with
// the leader that proposed it, or was not proposed.
func TestBeginningIsRecordedAgain(t *testing.T) {
	r := newRig(t, 5)
	r.addWorkers(1, 16)
	r.run(time.Second)
	r.submit(flow("f", step(1, 1, time.Hour)))
	for r.starts[modeler.FlowTask{Flow: "f"}] == 0 {
		r.run(tick)
	}
	r.losesBegun = true
	r.run(2500 * time.Millisecond)
	assert.Equal(t, r.flowState("f"), modeler.FlowPending)
	r.losesBegun = false
	r.electLeader()
	r.run(300 * time.Millisecond)
	assert.Equal(t, r.flowState("f"), modeler.FlowRunning)
	r.submit(flow("g", step(1, 1, time.Hour)))
	r.losesBegun = true
	r.run(500 * time.Millisecond)
	r.losesBegun = false
	r.run(1200 * time.Millisecond)
	assert.Equal(t, r.flowState("g"), modeler.FlowRunning)
}

// Guards against a log entry for each start: a flow of many tasks is recorded once, with
// ends that are recorded anyway if there are some.
func TestBeginningTakesOneRecord(t *testing.T) {
	r := newRig(t, 6)
	r.addWorkers(10, 16)
	r.run(time.Second)
	for i := range 50 {
		r.submit(flow(modeler.FlowID(fmt.Sprintf("f%02d", i)), step(20, 1, 400*time.Millisecond)))
		r.run(100 * time.Millisecond)
	}
	r.run(5 * time.Second)
	assert.Equal(t, len(r.startOrder), 1000)
	assert.Check(t, r.begunRecords <= 50, "%d records for 50 flows", r.begunRecords)
}

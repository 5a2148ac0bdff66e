package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"goldcreststack.example/goldcreststack/dispatcher"
	"goldcreststack.example/goldcreststack/modeler"
)

// Guards against a worker that a step never asks about again, because it was away when the outside policy allowed it.
func TestWorkerAwayDuringPermitRequestIsAskedAgain(t *testing.T) {
	r := newRig(t, 7)
	r.addWorkers(1, 8)
	r.run(2 * time.Second)
	f := flow("f", step(1, 2, time.Second))
	f.Policy.Permits = &modeler.PermitPolicy{Decision: 400 * time.Millisecond, Worker: time.Millisecond, Validity: 2 * time.Second}
	r.submit(f)
	r.run(100 * time.Millisecond)
	assert.Equal(t, r.permitRequests, 1)
	w := r.sortedWorkers()[0]
	r.commit(func() { r.state.UpdateWorkers(nil, []modeler.WorkerDeparture{{Worker: w.announcement.ID}}) })
	r.run(time.Second)
	r.beginGeneration(w)
	r.commitAnnouncement(w)
	r.run(10 * time.Second)
	assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
}

// slowPermits is a policy whose requests are costly.
func slowPermits() *modeler.PermitPolicy {
	return &modeler.PermitPolicy{Decision: 500 * time.Millisecond, Worker: 7 * time.Millisecond, Validity: 2500 * time.Millisecond}
}

// Guards against permits that expire before there is room for the step, and against a step
// that asks only after it has room.
func TestRequestsComeWithTheRoom(t *testing.T) {
	var requests []int
	for _, disabled := range []map[dispatcher.Decision]bool{nil, {dispatcher.UsefulPermits: true}} {
		r := newRig(t, 5)
		r.disabled = disabled
		r.electLeader()
		r.addWorkers(40, 16)
		r.run(2 * time.Second)
		r.submit(flow("long", step(40, 16, 20*time.Second)))
		r.run(time.Second)
		f := flow("f", step(14, 8, time.Second))
		f.Policy.Permits = slowPermits()
		r.submit(f)
		r.run(30 * time.Second)
		requests = append(requests, len(r.asked))
		assert.Equal(t, r.flowState("f"), modeler.FlowCompleted)
		wait := r.flowStart["f"].Sub(r.finishedAt["long"])
		assert.Check(t, wait < 200*time.Millisecond, "the step started %v after the room was free", wait)
	}
	assert.Check(t, requests[0]*2 < requests[1], "%d requests, without the decision %d", requests[0], requests[1])
}

// Guards against requests that name one or two workers as permits expire one by one.
func TestRequestsGatherWorkers(t *testing.T) {
	var few []int
	for _, disabled := range []map[dispatcher.Decision]bool{nil, {dispatcher.UsefulPermits: true}} {
		r := newRig(t, 6)
		r.disabled = disabled
		r.electLeader()
		r.addWorkers(60, 16)
		r.allowed = func(_ modeler.StepKey, id modeler.WorkerID) bool { return id[2]%3 == 0 }
		r.run(2 * time.Second)
		for i := range 12 {
			f := flow(modeler.FlowID(fmt.Sprintf("f%02d", i)), step(40, 8, time.Duration(2+i%3)*time.Second))
			f.Policy.Permits = slowPermits()
			r.submit(f)
			r.run(300 * time.Millisecond)
		}
		r.run(30 * time.Second)
		count := 0
		for _, ask := range r.asked {
			if len(ask.Workers) <= 2 {
				count++
			}
		}
		few = append(few, count*100/len(r.asked))
	}
	assert.Check(t, few[0] < 10 && few[0] < few[1], "%d%% of the requests name one or two workers, without the decision %d%%", few[0], few[1])
}

// Guards against flows beyond their share that take the links to the outside policy from
// flows within theirs.
func TestStepsWithinTheirShareAskFirst(t *testing.T) {
	r := newRig(t, 8)
	r.addWorkers(4, 8)
	r.run(2 * time.Second)
	for _, id := range []modeler.FlowID{"a", "b"} {
		f := flow(id, step(1, 2, time.Second))
		f.Policy.Permits = slowPermits()
		f.BeyondShare = id == "a"
		f.Policy.Priority = map[modeler.FlowID]int{"b": 2}[id]
		r.submit(f)
	}
	r.leader.Tick(r.now, r.stamp())
	ask, found := r.leader.NextPermitRequest(r.now, true)
	assert.Assert(t, found)
	assert.Equal(t, ask.Step.Flow, modeler.FlowID("b"))
}

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

// Guards against steps that wait in a full cell and ask a policy that answers fast for each
// worker as its room becomes free: the answers take the leader's time from urgent steps.
func TestRequestsArePaced(t *testing.T) {
	var counts []int
	for _, disabled := range []map[dispatcher.Decision]bool{nil, {dispatcher.PaceRequests: true}} {
		r := newRig(t, 9)
		r.disabled = disabled
		r.electLeader()
		r.addWorkers(60, 16)
		r.allowed = func(_ modeler.StepKey, id modeler.WorkerID) bool { return id[2]%3 == 0 }
		r.run(2 * time.Second)
		for i := range 400 {
			f := flow(modeler.FlowID(fmt.Sprintf("f%03d", i)), step(20, 4, time.Duration(500+100*(i%3))*time.Millisecond))
			f.Policy.Permits = &modeler.PermitPolicy{Decision: 5 * time.Millisecond, Worker: 50 * time.Microsecond, Validity: 2500 * time.Millisecond}
			f.Policy.Latency, f.Policy.Slowdown = 1200*time.Millisecond, 5
			r.submit(f)
		}
		r.run(10 * time.Second)
		counts = append(counts, len(r.asked))
	}
	// Requests of one second may be sent at once, 50 a second follow.
	assert.Check(t, counts[0] <= 550 && counts[0] < counts[1]/2, "%d requests, %d without the decision", counts[0], counts[1])
}

// Guards against long-running tasks that don't get room on a new worker for half a minute,
// because the step's last permits are valid for long: it waited to ask again, or for more
// workers to ask about.
func TestLongValidityDoesNotDelayRequests(t *testing.T) {
	for name, decision := range map[string]time.Duration{"fast": 5 * time.Millisecond, "slow": 500 * time.Millisecond} {
		for _, allowed := range []bool{false, true} {
			r := newRig(t, 12)
			for i := range 12 {
				r.addWorker(modeler.WorkerID(fmt.Sprintf("old%02d", i)), 8, "r")
			}
			r.allowed = func(_ modeler.StepKey, id modeler.WorkerID) bool { return allowed || id == "new" }
			r.run(2 * time.Second)
			lasting := step(20, 8, 500*time.Millisecond)
			lasting.LongRunning = true
			f := flow("f", lasting)
			f.Policy.Latency = time.Minute
			f.Policy.Permits = &modeler.PermitPolicy{Decision: decision, Worker: time.Millisecond, Validity: time.Minute}
			r.submit(f)
			r.run(time.Second)
			w := r.addWorker("new", 8, "r")
			r.run(6 * time.Second)
			assert.Check(t, len(w.running) == 1, "%s policy, other workers allowed: %v", name, allowed)
		}
	}
}

// Guards against long-running tasks of the least urgent queue whose requests wait behind
// those of many steps that ask again and again, since the leader paces all of them.
func TestPacedRequestsLeaveOutLongRunningSteps(t *testing.T) {
	r := newRig(t, 13)
	r.addWorkers(20, 16)
	r.addWorker("roomy", 64, "r")
	r.workers["roomy"].announcement.Labels = []string{"roomy"}
	r.commitAnnouncement(r.workers["roomy"])
	r.run(2 * time.Second)
	permits := &modeler.PermitPolicy{Decision: 5 * time.Millisecond, Worker: 50 * time.Microsecond, Validity: 2500 * time.Millisecond}
	for i := range 400 {
		s := step(20, 4, time.Duration(500+100*(i%3))*time.Millisecond)
		s.Label = "a"
		f := flow(modeler.FlowID(fmt.Sprintf("f%03d", i)), s)
		f.Policy.Permits = permits
		f.Policy.Latency, f.Policy.Slowdown = 1200*time.Millisecond, 5
		r.submit(f)
	}
	r.run(3 * time.Second)
	lasting := step(2, 4, 500*time.Millisecond)
	lasting.LongRunning, lasting.Label = true, "roomy"
	f := flow("lasting", lasting)
	f.Policy.Permits, f.Policy.Priority, f.Policy.Latency = permits, 5, time.Minute
	r.submit(f)
	r.run(6 * time.Second)
	assert.Equal(t, r.runningTasks("lasting"), 2)
}

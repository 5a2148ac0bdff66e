package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
